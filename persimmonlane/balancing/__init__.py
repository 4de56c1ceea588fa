"""Balancing.

Which backend server runs a request.
"""

from .choices import Choice
from .policies import balancers, create_balancer

__all__ = ["Choice", "balancers", "create_balancer"]
