"""Table rows of claims on idempotency keys."""

from typing import NamedTuple

import msgspec

from wagtailfront.outcome import Verdict
from wagtailfront.stores.interfaces import Key

__all__ = [
    "CLAIMED",
    "RELEASED",
    "RAN",
    "UNKNOWN",
    "STATES",
    "MAX_INLINE_ANSWER",
    "Claim",
    "RecordedAnswer",
    "claim_key",
]

MAX_INLINE_ANSWER = 48 * 1024  # bytes; larger bodies go to the object store

CLAIMED = "claimed"
RELEASED = "released"
RAN = "ran"
UNKNOWN = "may_have_run"
STATES = {
    Verdict.RAN: RAN,
    Verdict.MAY_HAVE_RUN: UNKNOWN,
    Verdict.NOT_RUN: RELEASED,
}


class Claim(msgspec.Struct, frozen=True):
    """Value of a claim row.

    Attributes
    ----------
    attempt : str
        Attempt that claimed the key; only this attempt may change the row
        until the claim is released.
    fingerprint : str
        Hash of the request; a different request under this key is rejected.
    state : str
        "claimed", "released", "ran" or "may_have_run".
    answer : bytes or None
        Recorded answer, None if there is none or it was too large for the row.
    stored_as : str
        Name of the object that contains a large answer, or empty.
    """

    attempt: str
    fingerprint: str
    state: str = CLAIMED
    answer: bytes | None = None
    stored_as: str = ""


class RecordedAnswer(NamedTuple):
    """Answer of an earlier attempt at the same request.

    `body` is None and `stored_as` empty if the request ran but its answer
    could not be stored.
    """

    body: bytes | None
    stored_as: str


def claim_key(workspace, service, idempotency_key):
    """Return the key of the claim row of a request.

    Each part is length-prefixed: callers choose the idempotency key freely,
    so it may contain the separator.

    Examples
    --------
    >>> claim_key("shop", "ledger", "a/b").sort
    '4:shop/6:ledger/3:a/b'
    """
    parts = (workspace, service, idempotency_key)
    return Key("claim", "/".join(f"{len(part)}:{part}" for part in parts))
