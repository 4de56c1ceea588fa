"""Reporting.

Measures and service-level burn.
"""
