"""Quarantine of requests that crash backend servers.

A request that comes again has another identifier each time, and is known by its
fingerprint. Three backend servers that crash while it runs put it into quarantine.
"""
