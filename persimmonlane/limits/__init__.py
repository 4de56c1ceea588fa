"""Limits.

Holds organisations to their rates over the whole fleet: holders lend parts of a
rate to nodes, and nodes admit requests from what they hold.
"""
