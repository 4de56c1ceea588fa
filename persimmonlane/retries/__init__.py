"""Retries.

Which requests are sent again.
"""
