"""Request explanations.

Logs what a node decides about each request and why, and finds these log lines again.
"""
