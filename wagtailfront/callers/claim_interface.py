"""Interface between service calls and the claims on idempotency keys."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from wagtailfront.outcome import Refused

__all__ = ["Proceed", "Recorded", "CallAnswer", "ClaimInterface", "NoClaims"]


class CallAnswer(msgspec.Struct, frozen=True):
    """Answer of a plain service, as kept for resends."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Proceed:
    """The claim is committed; this attempt alone may send the request."""


@dataclass(frozen=True, kw_only=True)
class Recorded:
    """The request ran before; this is its answer."""

    answer: CallAnswer


class ClaimInterface(Protocol):
    """Claims idempotency keys."""

    def claim(self, *, call, attempt, deadline, on_result):
        """Claim the call's key; Proceed, Recorded, Refused or Failed.

        `on_result` is called once.
        """

    def record_outcome(self, *, attempt, outcome, answer=None):
        """Keep the outcome of a sending for resends.

        A verdict of `not_run` releases the claim and must be provably true.
        """

    def is_idle(self):
        """Return whether no claim is open and no outcome is unrecorded."""


class NoClaims:
    """Refuses keyed calls, for an instance without a table service."""

    def claim(self, *, call, attempt, deadline, on_result):
        on_result(
            Refused(
                reason="idempotency keys need the table service",
                code="store_unavailable",
                retry_after=5.0,
            )
        )

    def record_outcome(self, *, attempt, outcome, answer=None):
        pass

    def is_idle(self):
        return True
