"""Quotas.

Holds every organisation to its rate over all VMs together.
"""
