"""Refusals of requests that crash backend servers."""

from ..errors import Refusal
from .ledger import Standing

QUARANTINED = "request-quarantined"
IMPLICATED = "request-implicated"
# Until another node may have run such a request alone, or have cleared it.
IMPLICATED_RETRY_S = 1.0


def check_quarantine(ledger, fingerprint):
    """Refuse a request that is in quarantine.

    Args:
        ledger: The `CrashLedger`.
        fingerprint: Fingerprint of the request.

    Raises:
        Refusal: Not run, with code `request-quarantined`.
    """
    if ledger.get_standing(fingerprint) is Standing.QUARANTINED:
        raise build_quarantine_refusal(
            fingerprint, ledger.get_quarantine_s(fingerprint)
        )


def build_quarantine_refusal(fingerprint, retry_after_s):
    """Return the `Refusal` of a request that is in quarantine.

    Args:
        fingerprint: Fingerprint of the request.
        retry_after_s: Seconds until the quarantine ends.
    """
    return Refusal(
        503,
        QUARANTINED,
        "backend servers crashed while such a request ran; its fingerprint is "
        f"{fingerprint:016x}",
        retry_after=retry_after_s,
    )


def build_implicated_refusal(fingerprint):
    """Return the `Refusal` of a request that no server can run alone.

    Args:
        fingerprint: Fingerprint of the request.
    """
    return Refusal(
        503,
        IMPLICATED,
        "a backend server crashed while such a request ran, and no other can run it "
        f"alone; its fingerprint is {fingerprint:016x}",
        retry_after=IMPLICATED_RETRY_S,
    )
