"""Tools.

Demonstration, load and benchmark for developers.
"""
