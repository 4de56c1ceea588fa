"""Overload.

Which requests wait and which are shed.
"""
