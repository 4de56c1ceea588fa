"""Draining.

Planned stops that cut no request.
"""

from .drains import Drain, Stage, create_drain

__all__ = ["Drain", "Stage", "create_drain"]
