"""Owner: the node on the VM of a backend server.

All requests to the backend server pass through its owner.
"""
