"""Breaks.

Deliberate faults in decision classes, each of which has to make a run fail.
"""

import contextlib
from unittest import mock

from ..config import replica
from ..config.replica import Replica
from ..ejection import ejector
from ..keys import KeyTable
from ..limits.borrower import Borrower
from ..limits.ledger import Ledger
from ..registries import Registry
from ..retries import attempts
from ..verdicts import Verdict

breaks = Registry("break")


class Break:
    """Base of the breaks.

    Attributes:
        name: Its name.
        code: Code of the invariant that it breaks.
        patches: Pairs of an owner and an attribute, with what takes its place.
    """

    name = ""
    aliases = ()
    code = ""
    patches = ()

    @classmethod
    @contextlib.contextmanager
    def apply(cls):
        """Hold the break in place."""
        with contextlib.ExitStack() as stack:
            for owner, attribute, value in cls.patches:
                stack.enter_context(mock.patch.object(owner, attribute, value))
            yield


def allow_all(*arguments):
    """Allow whatever is asked."""
    return True


def ignore_all(*arguments):
    """Do nothing."""


def take_last(first, second):
    """Return the second verdict alone."""
    return second


def lend_wanted(ledger, loan, *arguments):
    """Lend what is wanted, whatever else is lent."""
    return loan.demand * 2


def keep_token(borrower, organisation, again=False):
    """Admit without spending a token."""
    admission = _admit(borrower, organisation, again)
    account = borrower._accounts.get(organisation)
    if account is not None:
        account.level = min(account.cap, account.level + 1)
    return admission


_admit = Borrower.admit


def retry_always(verdict, idempotent, attempt, remaining_s, policy, budget):
    """Retry whatever the verdict is."""
    return attempt < policy.attempts


def adopt_any(self, root):
    """Put any revision into force."""
    self._put_in_force(root)
    return True


def adopt_first(self, root):
    """Put the first revision into force and no other."""
    return not self.root.revision and _adopt(self, root)


_adopt = Replica.adopt


def take_first(self, presented):
    """Take every key for one of the first organisation."""
    return self._organisations[0].name


@breaks.register
class FloorIgnored(Break):
    """Ejections don't look at the floor, and nothing is taken back below it."""

    name = "floor-ignored"
    code = "floor"
    patches = (
        (ejector, "allows_ejection", allow_all),
        (ejector, "is_below_floor", ignore_all),
    )


@breaks.register
class FloorUnchecked(Break):
    """The same with the ejector's own checks gone; the audit has to see it."""

    name = "floor-unchecked"
    code = "floor"
    patches = (
        (ejector, "allows_ejection", allow_all),
        (ejector, "check_floor", ignore_all),
        (ejector, "is_below_floor", ignore_all),
    )


@breaks.register
class RateOverlent(Break):
    """Holders lend more than the rate."""

    name = "rate-overlent"
    code = "rate"
    patches = ((Ledger, "_choose_rate", lend_wanted),)


@breaks.register
class TokensKept(Break):
    """Borrowers admit without spending; only the audit can see it."""

    name = "tokens-kept"
    code = "rate"
    patches = ((Borrower, "admit", keep_token),)


@breaks.register
class RetriedAlways(Break):
    """Requests are sent again whatever the verdict is."""

    name = "retried-always"
    code = "at-most-once"
    patches = ((attempts, "decide_retry", retry_always),)


@breaks.register
class RetriedUnchecked(Break):
    """The same with the check of attempts gone; the audit has to see it."""

    name = "retried-unchecked"
    code = "at-most-once"
    patches = (
        (attempts, "decide_retry", retry_always),
        (attempts, "check_invariant", ignore_all),
    )


@breaks.register
class VerdictForgotten(Break):
    """Earlier attempts don't count for the verdict."""

    name = "verdict-forgotten"
    code = "not-run"
    patches = ((attempts, "combine", take_last),)


@breaks.register
class VerdictUnknown(Break):
    """A request that may have run is said not to have run."""

    name = "verdict-unknown"
    code = "not-run"
    patches = ((attempts, "combine", lambda first, second: Verdict.NOT_RUN),)


@breaks.register
class RevisionLowered(Break):
    """Late answers put older revisions into force."""

    name = "revision-lowered"
    code = "revision"
    patches = ((Replica, "adopt", adopt_any),)


@breaks.register
class RevisionUnchecked(Break):
    """The same with the replica's own check gone; the audit has to see it."""

    name = "revision-unchecked"
    code = "revision"
    patches = (
        (Replica, "adopt", adopt_any),
        (replica, "check_invariant", ignore_all),
    )


@breaks.register
class NewsIgnored(Break):
    """Nodes neither learn of newer revisions nor stop serving without them."""

    name = "news-ignored"
    code = "key-withdrawn"
    patches = (
        (Replica, "adopt", adopt_first),
        (Replica, "is_isolated", lambda self, within_s: False),
    )


@breaks.register
class IsolationIgnored(Break):
    """Nodes that hear nobody go on serving."""

    name = "isolation-ignored"
    code = "key-withdrawn"
    patches = ((Replica, "is_isolated", lambda self, within_s: False),)


@breaks.register
class KeysMixed(Break):
    """Keys are taken for those of another organisation."""

    name = "keys-mixed"
    code = "organisation"
    patches = ((KeyTable, "authenticate", take_first),)
