"""Traces.

Recorded decision inputs and their replay.
"""
