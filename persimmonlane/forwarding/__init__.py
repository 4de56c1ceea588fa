"""Forwarding.

Carries requests and answers between callers and backend servers.
"""
