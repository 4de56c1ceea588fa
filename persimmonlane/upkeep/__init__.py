"""Upkeep.

Keeps the node's entry in the store, and its document the newest.
"""
