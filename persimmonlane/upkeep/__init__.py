"""Synchronisation with the store.

Keeps the node registered in the store, and its document up to date.
"""
