"""Stand-ins and processes that the scripts of the review have in common.

They need the Python of the deploy file and what its build puts into `target/deps`.
"""
