"""Programs.

The command-line programs.
"""
