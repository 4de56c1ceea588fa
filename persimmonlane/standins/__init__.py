"""Stand-ins for external systems.

Small in-process servers that replace external systems in tests and tools.
"""
