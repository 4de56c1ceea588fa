"""Peers.

What the nodes of a fleet know of each other.
"""
