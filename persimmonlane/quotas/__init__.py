"""Rate limits of organisations across all VMs."""
