"""Trials.

The decision classes driven by small fakes, for randomised runs and measurements;
development only.
"""
