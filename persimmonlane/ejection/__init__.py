"""Ejection.

Which backend servers fail and get no work.
"""
