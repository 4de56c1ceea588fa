"""Membership.

Which backend servers and nodes are there.
"""
