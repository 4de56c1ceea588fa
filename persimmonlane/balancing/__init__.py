"""Balancing.

Which backend server a request goes to.
"""
