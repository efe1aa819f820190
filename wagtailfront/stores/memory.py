"""In-memory table and object store with a fault plan, in virtual time."""

import heapq
import itertools
from collections import deque
from typing import NamedTuple

from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Key,
    Missing,
    Row,
    Rows,
    Unavailable,
    Unknown,
)

__all__ = [
    "Fault",
    "NO_FAULT",
    "OUTAGE",
    "lost_answer",
    "lost_request",
    "late_write",
    "slow",
    "duplicated",
    "MemoryTable",
    "MemoryObjects",
]


class Fault(NamedTuple):
    """Way in which one request is applied and answered.

    Attributes
    ----------
    apply_after : float or None
        Seconds until the request takes effect; None if it never does.
    reply_after : float
        Seconds until the reply is delivered.
    answered : bool
        Whether the reply carries the request's result. Otherwise it is
        `Unknown` for a write and `Unavailable` for a read.
    refused : bool
        Whether the reply is `Unavailable`; only with `apply_after` None.
    copies : int
        Number of times that the reply is delivered.
    """

    apply_after: float | None = 0.0
    reply_after: float = 0.0
    answered: bool = True
    refused: bool = False
    copies: int = 1


NO_FAULT = Fault()
OUTAGE = Fault(apply_after=None, answered=False, refused=True)


def lost_answer(*, reply_after=1.0):
    """Return a fault that applies a request at once and loses its result."""
    return Fault(reply_after=reply_after, answered=False)


def lost_request(*, reply_after=1.0):
    """Return a fault that loses a request before it is applied."""
    return Fault(apply_after=None, reply_after=reply_after, answered=False)


def late_write(*, apply_after, reply_after=1.0):
    """Return a fault that applies a write after it was reported as Unknown."""
    return Fault(apply_after=apply_after, reply_after=reply_after, answered=False)


def slow(seconds):
    """Return a fault that replies after `seconds`, and applies halfway."""
    return Fault(apply_after=seconds / 2, reply_after=seconds)


def duplicated(*, seconds=0.0):
    """Return a fault that delivers the reply twice."""
    return Fault(reply_after=seconds, copies=2)


class Schedule:
    """Queue of actions in virtual time.

    Actions that are due at the same time run in order of scheduling.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.heap = []
        self.order = itertools.count()

    def after(self, seconds, action):
        """Schedule `action` for `seconds` from now."""
        due = self.clock() + seconds
        heapq.heappush(self.heap, (due, next(self.order), action))

    def next_due(self):
        """Return the time of the next action, or None."""
        return self.heap[0][0] if self.heap else None

    def run_due(self):
        """Run all actions that are due; return their number."""
        ran = 0
        while self.heap and self.heap[0][0] <= self.clock():
            heapq.heappop(self.heap)[2]()
            ran += 1
        return ran


class MemoryStore:
    """Base of the two stores; applies and answers requests by a fault plan.

    Parameters
    ----------
    clock : callable
        Returns the present virtual time in seconds.

    Attributes
    ----------
    faults : deque of Fault
        Faults of the next requests, in order.
    default_fault : Fault
        Used when `faults` is empty; set it to `OUTAGE` for an outage.
    """

    def __init__(self, *, clock):
        self.schedule = Schedule(clock=clock)
        self.faults = deque()
        self.default_fault = NO_FAULT

    def run_due(self):
        """Run the due actions; return their number."""
        return self.schedule.run_due()

    def _submit(self, apply, reply, *, is_write):
        fault = self.faults.popleft() if self.faults else self.default_fault
        results = []
        if fault.apply_after is not None:
            self.schedule.after(fault.apply_after, lambda: results.append(apply()))

        def deliver():
            reply(_visible_reply(fault, results, is_write))

        for _ in range(fault.copies):
            self.schedule.after(fault.reply_after, deliver)


def _visible_reply(fault, results, is_write):
    """Return the reply that the caller gets under `fault`."""
    if fault.answered and results:
        return results[0]
    if fault.refused or not is_write:
        return Unavailable(reason="the store is not available")
    return Unknown(reason="no response from the store")


class MemoryTable(MemoryStore):
    """`TableStore` in memory; replies are delivered by `run_due`.

    Attributes
    ----------
    rows : dict of Key to Row
    history : list of (float, Row)
        Every row written, with the virtual time of its commit.

    Examples
    --------
    >>> from wagtailfront.stores.interfaces import Put
    >>> table = MemoryTable(clock=lambda: 0.0)
    >>> put = Put(Key("p", "s"), 0, b"value")
    >>> table.transact(puts=(put,), token="t1", reply=print)
    >>> table.run_due()
    Committed(era=0)
    2
    """

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.rows = {}
        self.history = []
        self.committed_tokens = set()

    def get(self, *, key, reply):
        """Read one row."""

        def apply():
            row = self.rows.get(key)
            return Missing() if row is None else Found(row=row)

        self._submit(apply, reply, is_write=False)

    def query(self, *, partition, after, limit, reply):
        """Read up to `limit` rows of `partition` above `after`."""

        def apply():
            keys = sorted(
                key
                for key in self.rows
                if key.partition == partition and key.sort > after
            )
            return Rows(rows=tuple(self.rows[key] for key in keys[:limit]))

        self._submit(apply, reply, is_write=False)

    def transact(self, *, checks=(), puts=(), token, reply):
        """Write all puts if all conditions hold."""
        self._submit(lambda: self._commit(checks, puts, token), reply, is_write=True)

    def _commit(self, checks, puts, token):
        if token in self.committed_tokens:
            return Committed()
        conditions = itertools.chain(
            ((check.key, check.version) for check in checks),
            ((put.key, put.expected) for put in puts),
        )
        if any(self.version(key) != version for key, version in conditions):
            return ConditionFailed()
        for put in puts:
            row = Row(put.key, put.expected + 1, put.value)
            self.rows[put.key] = row
            self.history.append((self.schedule.clock(), row))
        self.committed_tokens.add(token)
        return Committed()

    def copy(self):
        """Return a copy of the table for `restore`."""
        return dict(self.rows)

    def restore(self, copy):
        """Come back from a copy; the tokens of lost writes stay known."""
        self.rows = dict(copy)

    def version(self, key):
        """Return the version of the row at `key`, 0 if there is none."""
        row = self.rows.get(key)
        return 0 if row is None else row.version


class MemoryObjects(MemoryStore):
    """`ObjectStore` in memory; replies are delivered by `run_due`."""

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self.objects = {}

    def get(self, *, name, reply):
        """Read an object; its row's key is ("object", name)."""

        def apply():
            if name not in self.objects:
                return Missing()
            version, data = self.objects[name]
            return Found(row=Row(Key("object", name), version, data))

        self._submit(apply, reply, is_write=False)

    def put(self, *, name, data, reply):
        """Write an object."""

        def apply():
            version = self.objects[name][0] + 1 if name in self.objects else 1
            self.objects[name] = (version, data)
            return Committed()

        self._submit(apply, reply, is_write=True)
