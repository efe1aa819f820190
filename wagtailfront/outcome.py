"""Outcomes of a request and the verdict on whether it ran."""

import enum
from dataclasses import dataclass
from typing import Any

__all__ = ["Verdict", "Answered", "Refused", "Failed", "Outcome"]


class Verdict(enum.Enum):
    """Whether a request may have had an effect at an endpoint."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


@dataclass(frozen=True, kw_only=True)
class Answered:
    """The request ran and its complete answer is available."""

    value: Any
    verdict: Verdict = Verdict.RAN


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The request was rejected before any endpoint could run it.

    Attributes
    ----------
    reason : str
        A short sentence for the caller.
    code : str
        A stable, machine-readable reason.
    retry_after : float or None
        Seconds after which a retry may succeed, if known.
    """

    reason: str
    code: str
    retry_after: float | None = None
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True, kw_only=True)
class Failed:
    """The request was sent, but no complete answer was received."""

    reason: str
    code: str
    verdict: Verdict


Outcome = Answered | Refused | Failed
