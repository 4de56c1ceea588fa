"""Configuration.

The document in force: its model, checks, storage and spreading.
"""
