"""Borrowing of an organisation's tokens from the data centre that holds its rate.

The borrower decides from what it has. It asks for more before that is used up, as much
as it lately used. While the lender does not answer it grants a share of the rate, a
small part of it as long as the lender may not have noticed that the two are apart.
"""

import math

from .buckets import Bucket
from .lending import LOAN_S

# Seconds of recent use that a loan covers.
LOAN_COVER_S = 1.0
# More is asked for when what is left covers less than this.
LOW_COVER_S = 0.4
# Requests a second from which on tokens are kept in stock.
MIN_STOCK_USE = 3.0
# Time constant of the measured use.
USE_PERIOD_S = 2.0
# An answer that takes longer doesn't come; then another request is sent.
ANSWER_TIMEOUT_S = 0.06
RETRY_INTERVAL_S = 0.3
# Time until the lender's side knows that this one is cut off from it.
NOTICE_S = 7.0
# Part of its share that the borrower grants until then.
UNNOTICED_FACTOR = 0.2


class Borrower:
    """What one data centre has borrowed of one organisation; not thread-safe.

    Attributes:
        granted_alone: Requests granted without the lender since the process started.
    """

    __slots__ = (
        "granted_alone",
        "_tokens",
        "_expires_at",
        "_use",
        "_used_at",
        "_asked_at",
        "_unanswered_since",
        "_empty_until",
        "_share_bucket",
    )

    def __init__(self, now):
        self.granted_alone = 0
        self._tokens = 0
        self._expires_at = float("-inf")
        self._use = 0.0
        self._used_at = now
        self._asked_at = None
        self._unanswered_since = None
        self._empty_until = float("-inf")
        self._share_bucket = None

    def note_request(self, now):
        """Count a request for the measure of recent use."""
        self._use = self._get_use(now) + 1.0 / USE_PERIOD_S
        self._used_at = now

    def take(self, now):
        """Take a borrowed token; return whether there was one."""
        if self._get_tokens(now) < 1:
            return False
        self._tokens -= 1
        return True

    def charge(self, tokens):
        """Take the tokens of requests that were granted without this node."""
        self._tokens -= tokens

    def get_empty_s(self, now):
        """Return the seconds for which the lender is known to have no tokens."""
        return max(0.0, self._empty_until - now)

    def is_due(self, waiting, now):
        """Return whether the lender is to be asked now.

        Args:
            waiting: Number of requests that need a token.
            now: Clock time in seconds.
        """
        if self._asked_at is not None and now - self._asked_at < RETRY_INTERVAL_S:
            return False
        if now < self._empty_until:
            return False
        if waiting:
            return True
        # Tokens that an organisation with few requests leaves unspent are missing
        # elsewhere.
        use = self._get_use(now)
        return use >= MIN_STOCK_USE and self._get_tokens(now) < use * LOW_COVER_S

    def is_lender_silent(self, now):
        """Return whether the lender has left a request unanswered."""
        since = self._unanswered_since
        return since is not None and now - since > ANSWER_TIMEOUT_S

    def ask(self, waiting, now):
        """Note that the lender is asked; return the number of tokens to ask for.

        Args:
            waiting: Number of requests that wait for the answer.
            now: Clock time in seconds.
        """
        self._asked_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        use = self._get_use(now)
        stock = math.ceil(use * LOAN_COVER_S) if use >= MIN_STOCK_USE else 0
        return max(1, waiting, waiting + stock - self._get_tokens(now))

    def count_unspent(self, now):
        """Return the number of tokens that are still borrowed."""
        return max(0, self._get_tokens(now))

    def apply(self, tokens, wait_s, sent_at, now):
        """Apply the lender's answer.

        Args:
            tokens: Number of tokens that it lends.
            wait_s: If there are none, seconds until it has some.
            sent_at: Clock time at which it was asked, in seconds.
            now: Clock time in seconds.
        """
        left = self._get_tokens(now)
        self._asked_at = self._unanswered_since = None
        self._tokens = left + tokens
        self._expires_at = sent_at + LOAN_S
        if not tokens:
            self._empty_until = now + wait_s

    def take_from_share(self, rate, now):
        """Decide without the lender.

        Args:
            rate: This data centre's share of the rate, in requests per second.
            now: Clock time in seconds.

        Returns:
            Seconds to wait, 0 if the request is granted.
        """
        if now - self._unanswered_since < NOTICE_S:
            rate *= UNNOTICED_FACTOR
        burst = max(1.0, rate)
        if self._share_bucket is None:
            self._share_bucket = Bucket(rate, burst, 1.0, now)
        elif self._share_bucket.rate != rate:
            self._share_bucket.set_rate(rate, burst, now)
        wait_s = self._share_bucket.take(now)
        if wait_s <= 0:
            self.granted_alone += 1
        return wait_s

    def _get_tokens(self, now):
        if now >= self._expires_at:
            self._tokens = min(0, self._tokens)
        return self._tokens

    def _get_use(self, now):
        return self._use * math.exp(-(now - self._used_at) / USE_PERIOD_S)
