"""Soak.

Seeded runs in which nodes are stopped, restarted and changed while callers go on.
"""
