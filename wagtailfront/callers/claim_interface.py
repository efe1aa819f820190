"""Interface between service calls and the claims on idempotency keys."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from wagtailfront.outcome import Refused

__all__ = ["Proceed", "Recorded", "CallAnswer", "ClaimInterface", "NoClaims"]


class CallAnswer(msgspec.Struct, frozen=True):
    """Answer of a plain service, as stored for resends of the call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Proceed:
    """The claim is committed; this attempt alone may send the request."""


@dataclass(frozen=True, kw_only=True)
class Recorded:
    """The call ran before under the same key; this is its answer."""

    answer: CallAnswer


class ClaimInterface(Protocol):
    """Claims idempotency keys, so that a call runs once for each key."""

    def claim(self, *, call, attempt, deadline, on_result):
        """Claim the call's key.

        `on_result` is called once, with Proceed, Recorded, Refused or
        Failed.
        """

    def record_outcome(self, *, attempt, outcome, answer=None):
        """Store the outcome of a claimed attempt for resends of the call.

        A verdict of `not_run` releases the claim, so that a resend runs the
        call. It may be given only if it is certain that the call did not
        run.
        """

    def is_idle(self):
        """Return whether no claim is open and all outcomes are recorded."""


class NoClaims:
    """Rejects calls with a key, for an instance without a table service."""

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
