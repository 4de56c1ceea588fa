"""Membership, status exchange and queries between the nodes of the fleet."""
