"""Stand-ins.

Small servers that take the place of outside systems in tests.
"""
