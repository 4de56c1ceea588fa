"""Persimmonlane.

A proxy fleet for backend servers with gray failures.
"""

__version__ = "0.1.0"
