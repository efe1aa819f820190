"""Interfaces between the duties, their holder and the platform."""

from typing import NamedTuple, Protocol

__all__ = ["DutyAnswer", "DutyCalls", "DutyHold", "EngineOrder", "UsageStore"]


class EngineOrder(NamedTuple):
    """Number of engines of one kind that a data centre is to have.

    Attributes
    ----------
    service, data_centre : str
    count : int
    is_spot : bool
        Whether it is for engines that may be reclaimed.
    """

    service: str
    data_centre: str
    count: int
    is_spot: bool = False


class DutyAnswer(NamedTuple):
    """Outcome of a call.

    Attributes
    ----------
    is_accepted : bool
    is_unavailable : bool
        Whether the platform has none of the engines that were ordered.
    reason : str
        Why it was not accepted. A call without an answer may have been.
    is_refused : bool
        Whether the platform would refuse a repeat too.
    """

    is_accepted: bool
    is_unavailable: bool = False
    reason: str = ""
    is_refused: bool = False


class DutyHold(Protocol):
    """Whether this instance may make the calls of a duty."""

    def grant(self):
        """Return the Grant of the lease, or None if no call may be made now.

        To be asked directly before each call: after a pause of the process
        the lease may have expired.
        """

    def want(self, wanted: bool) -> None:
        """Take part in holding the duty, or release it."""


class DutyCalls(Protocol):
    """Calls to the platform; each `reply` gets a DutyAnswer.

    A call is not sent, and its reply says so, if the holder may not act at
    the moment at which it would be written.
    """

    def report_usage(self, window: int, counts, hold: DutyHold, reply) -> None:
        """Report the requests of each workspace in one window."""

    def order_engines(self, order: EngineOrder, hold: DutyHold, reply) -> None:
        """Order engines of a service in a data centre."""


class UsageStore(Protocol):
    """Store of the sums that are reported."""

    def read(self, reply) -> None:
        """Read the sums; `reply` gets them by window, or None."""

    def write(self, window: int, counts, removed, reply) -> None:
        """Write the sum of a window that has none yet, and remove others.

        `reply` gets whether it was certainly written.
        """
