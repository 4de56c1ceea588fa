"""Forwarding of requests from callers to backend servers, and of the responses back.

A request passes through the node that owns the backend server.
"""
