"""Draining.

How servers and nodes leave without losing requests.
"""
