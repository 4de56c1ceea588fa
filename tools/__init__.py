"""Tools.

Programs for developers: demonstration, benchmark, measurements.
"""
