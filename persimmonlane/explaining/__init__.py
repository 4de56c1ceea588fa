"""Explaining.

What the node decided and why, as log lines, and how they are read afterwards.
"""
