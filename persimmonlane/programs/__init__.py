"""Programs.

The command lines.
"""
