"""Retry budget.

Limits the retries and hedges of this node to its part of the fleet's budget. When many
backend servers fail at once, unlimited retries would add to the overload.
"""

# Leaves room in the ratio for calls that retried requests make in turn: they count as
# retries of the called service.
RETRY_RATIO_FACTOR = 0.85
# Leaves room in the slack for the tokens with which restarted nodes begin.
SLACK_FACTOR = 0.8
INITIAL_FILL_SHARE = 0.5


class RetryBudget:
    """A token bucket for retries per service; not thread-safe.

    Each request adds a fraction of a token, up to this node's part of the slack. In any
    period the retries of the fleet stay within that fraction of its requests plus the
    whole slack.
    """

    __slots__ = ("_ratio", "_slack", "_tokens")

    def __init__(self, ratio, slack):
        self._ratio = ratio * RETRY_RATIO_FACTOR
        self._slack = slack * SLACK_FACTOR
        self._tokens = {}

    def note_request(self, service, members):
        """Add the fraction of a token that a request earns.

        Args:
            service: Name of the service.
            members: Number of nodes in the fleet.
        """
        tokens = self._get_tokens(service, members) + self._ratio
        self._tokens[service] = min(self._get_max_tokens(members), tokens)

    def take(self, service, members):
        """Take a token; return whether one was available."""
        tokens = self._get_tokens(service, members)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def refund(self, service, members):
        """Return an unused token to the bucket."""
        tokens = self._get_tokens(service, members) + 1.0
        self._tokens[service] = min(self._get_max_tokens(members), tokens)

    def _get_tokens(self, service, members):
        return self._tokens.get(
            service, self._get_max_tokens(members) * INITIAL_FILL_SHARE
        )

    def _get_max_tokens(self, members):
        return max(1.0, self._slack / members)
