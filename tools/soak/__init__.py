"""Soak tests.

Seeded runs that stop, restart and reconfigure nodes while callers send requests.
"""
