"""Headers.

HTTP headers as pairs, and the rules on which of them a proxy passes on.
"""

from .forwarding.headers import drop_hop_by_hop, find_values
from .keys import Header

__all__ = ["Header", "drop_hop_by_hop", "find_values"]
