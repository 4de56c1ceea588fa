"""Owner.

The node beside a backend server: it alone hands it requests.
"""
