"""Effects returned by the step machines, and matching of replies."""

import itertools
from typing import Any, NamedTuple

from wagtailfront.stores.interfaces import Check, Key, Put

__all__ = [
    "Tag",
    "ReadRow",
    "WriteRows",
    "SendOrder",
    "ReadEngine",
    "MarkDraining",
    "StartTimer",
    "Dispatch",
    "Finish",
    "Effect",
    "OutstandingRequest",
    "merge_timers",
]

REPLY_TIMEOUT = 2.0  # seconds; a lost reply must not block a lease until it expires


class Tag(NamedTuple):
    """Identifies one request; its reply carries the same tag."""

    owner: str
    number: int


class ReadRow(NamedTuple):
    """Read one row of the table."""

    tag: Tag
    key: Key


class WriteRows(NamedTuple):
    """Write all `puts` in one transaction if all conditions hold."""

    tag: Tag
    token: str
    puts: tuple[Put, ...]
    checks: tuple[Check, ...] = ()


class SendOrder(NamedTuple):
    """Send a stored order to its engine.

    The sender compares its clock with `valid_until` directly before the
    write call and drops the order if that time has come.
    """

    order: Any
    valid_until: float


class ReadEngine(NamedTuple):
    """Read the state and the load of an engine."""

    tag: Tag
    engine: str


class MarkDraining(NamedTuple):
    """Set or clear the draining mark of an engine in the configuration.

    Marks of one engine are ordered by `revision`; within one revision a
    mark is set before it is cleared. A mark older than the current one has
    no effect, so a delayed duplicate is harmless.
    """

    tag: Tag
    engine: str
    revision: int
    draining: bool


class StartTimer(NamedTuple):
    """Call `on_time` at `at` (seconds, monotonic).

    Replaces the machine's previous timer. Early calls are harmless.
    """

    at: float


class Dispatch(NamedTuple):
    """Send the request to an endpoint; emitted at most once per attempt."""

    attempt: str


class Finish(NamedTuple):
    """Give this outcome to the caller; emitted at most once per attempt."""

    outcome: Any


Effect = (
    ReadRow
    | WriteRows
    | SendOrder
    | ReadEngine
    | MarkDraining
    | StartTimer
    | Dispatch
    | Finish
)


class OutstandingRequest:
    """The outstanding request of a step machine; at most one at a time.

    Replies to earlier requests and duplicates are recognised by their tag.

    Parameters
    ----------
    owner : str
        Name of the machine, used in its tags.
    timeout : float
        Seconds after which a missing reply counts as lost.

    Examples
    --------
    >>> request = OutstandingRequest(owner="lease/a")
    >>> tag = request.open("read", 1.0)
    >>> request.close(tag)
    ('read', 1.0)
    >>> request.close(tag) is None
    True
    """

    def __init__(self, *, owner, timeout=REPLY_TIMEOUT):
        self.owner = owner
        self.timeout = timeout
        self.numbers = itertools.count(1)
        self.tag = None
        self.kind = None
        self.sent_at = None

    def open(self, kind, now):
        """Start a request, replacing any earlier one, and return its tag."""
        self.tag = Tag(self.owner, next(self.numbers))
        self.kind = kind
        self.sent_at = now
        return self.tag

    def close(self, tag):
        """End the request; return kind and sending time, None if outdated."""
        if self.tag is None or tag != self.tag:
            return None
        self.tag = None
        return self.kind, self.sent_at

    def is_waiting(self, now):
        """Whether a reply may still come."""
        return self.tag is not None and now < self.sent_at + self.timeout

    def expire(self, now):
        """End an overdue request and return its kind, else None."""
        if self.tag is None or self.is_waiting(now):
            return None
        self.tag = None
        return self.kind

    def due(self):
        """Return when the outstanding request becomes overdue."""
        return self.sent_at + self.timeout


def merge_timers(effects):
    """Return `effects` with only the earliest of their timers, put last.

    Examples
    --------
    >>> merge_timers((StartTimer(2.0), Dispatch("r.1"), StartTimer(1.0)))
    (Dispatch(attempt='r.1'), StartTimer(at=1.0))
    """
    timers = [effect for effect in effects if isinstance(effect, StartTimer)]
    others = tuple(effect for effect in effects if not isinstance(effect, StartTimer))
    return (*others, min(timers)) if timers else others
