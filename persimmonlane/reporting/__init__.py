"""Service-level reporting.

Request counts of a node, and reports on how fast error budgets are spent.
"""
