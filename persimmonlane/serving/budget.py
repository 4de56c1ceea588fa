"""Budget.

Second attempts that this node may make, as its part of the fleet's budget. Answers
backend servers of which many fail at once, so that second attempts add to the load.
"""

# Calls that second attempts make count as second attempts of the called service.
RATIO_SHARE = 0.85
# Nodes that start anew begin with some tokens, which the others have too.
SLACK_SHARE = 0.8
FIRST_SHARE = 0.5


class RetryBudget:
    """Tokens for second attempts by service; not thread-safe.

    Every request adds a share of a token, up to this node's part of the slack. Over
    any time the fleet makes at most that share of its requests and the whole slack.
    """

    __slots__ = ("_ratio", "_slack", "_tokens")

    def __init__(self, ratio, slack):
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._tokens = {}

    def note_request(self, service, members):
        """Count a request for a service.

        Args:
            service: Name of the service.
            members: Number of nodes in the fleet.
        """
        tokens = self._find(service, members) + self._ratio
        self._tokens[service] = min(self._find_most(members), tokens)

    def take(self, service, members):
        """Take a token; return whether there was one."""
        tokens = self._find(service, members)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True

    def refund(self, service, members):
        """Take back a token that was not used."""
        tokens = self._find(service, members) + 1.0
        self._tokens[service] = min(self._find_most(members), tokens)

    def _find(self, service, members):
        return self._tokens.get(service, self._find_most(members) * FIRST_SHARE)

    def _find_most(self, members):
        return max(1.0, self._slack / members)
