"""Serving.

Carries requests from callers through the owner of a backend server, and back.
"""
