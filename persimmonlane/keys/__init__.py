"""Keys.

Which organisation a request belongs to.
"""
