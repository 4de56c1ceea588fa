"""Limits.

Which requests are within an organisation's rate.
"""
