"""Watching of tables of the platform's store."""

import logging
import time
from collections import deque
from typing import NamedTuple

from circuits import BaseComponent, handler

from wagtailfront.forwarding.interfaces import StorePosition

__all__ = ["Arrival", "StoreWatcher"]

logger = logging.getLogger(__name__)

# Seconds after which the store answers a watch without a change; a silent
# connection is detected soon after.
WATCH_SECONDS = 1.2
RETRY_DELAY = 0.25  # seconds after a read that failed
# Longest stretched gap in seconds: an endpoint may get new work for only 3 s
# after it has announced that it leaves.
MAX_GAP = 1.0
# Seconds that a watch may lag behind what a peer has seen: the store answers
# all watches of a change within milliseconds.
CATCH_UP_DELAY = 0.3
# Share of the bound after which a change that peers report is asked for again.
CATCH_UP_SHARE = 0.25
MAX_LOGGED_FAILURES = 4  # reasons in a line of the log
# Versions of the largest row in an answer from which a full read is shorter,
# and bytes of an answer that is short enough in any case.
MAX_VERSIONS = 2
MIN_CHANGES = 64 * 1024


class Arrival(NamedTuple):
    """How an answer of the store was obtained; times in seconds.

    Attributes
    ----------
    call : int
        Number of the call; later calls have higher numbers.
    call_kind : str
        "read" for a full read, or "watch".
    cause : str
        Why the call was made.
    wait : float
        Time for which the store was asked to wait for a change.
    peers : int
        Peers that were heard of when the call was made.
    took : float
        Time from the call to the answer.
    since_answer : float or None
        Time since the answer before, which is the largest age of a change
        in this one.
    since_report : float or None
        Time since a peer first reported a change that was not known here.
    """

    call: int
    call_kind: str
    cause: str
    wait: float
    peers: int
    took: float
    since_answer: float | None
    since_report: float | None


class _Call(NamedTuple):
    """A call that waits for its answer."""

    number: int
    kind: str
    cause: str
    wait: float
    peers: int
    sent_at: float


class StoreWatcher(BaseComponent):
    """Reads a table, then watches for changes.

    Parameters
    ----------
    table : str
        Name for the log and for `versions`.
    source : RoutingSource or RegistrySource
    on_read : callable
        Called with the result of each call, also of one that failed.
    versions : StoreVersions
    pace : FleetPace
    timers : Timers
    log : DecisionLog
    confirmations : Confirmations
    bound : float
        Seconds within which a change must be in force.
    min_gap : float, optional
        Seconds between a response and the next watch, to batch changes that
        come close together.
    clock : callable, optional

    Attributes
    ----------
    cursor : StorePosition or None
        Where the next watch starts; None before a full read.
    watch : object or None
        Open watch, as returned by the source.
    is_resuming : bool
        Whether a watch got no answer, and its changes are asked for at once.
    has_changed : bool
        Whether the latest answer contained a change.
    arrival : Arrival or None
        How the latest answer was obtained.
    largest_row : int
        Bytes of the largest row in the latest answer that had one.
    failures : int
        Calls without an answer since the latest answer.
    failed_at : float or None
        Time of the first of them.
    latest_failures : deque of str
        Reasons of the latest of them.
    answered_at : float or None
        Time of the latest answer.
    reported_at : float or None
        Time at which a peer first reported a change that is not known yet.
    seen_to : StorePosition
        Up to where all changes were in an answer. The position of an answer
        may be later: one without changes does not show that there are none.

    Notes
    -----
    A watch without an answer may have been sent on a connection that is
    silent, so its changes are read from the same cursor on another one. The
    versions of rows that were removed are among them, which a full read would
    not show; peers learn from these that there was a change.
    """

    channel = "store_watcher"

    def __init__(
        self,
        *,
        table,
        source,
        on_read,
        versions,
        pace,
        timers,
        log,
        confirmations,
        bound,
        min_gap=0.0,
        clock=time.monotonic,
    ):
        super().__init__()
        self.table = table
        self.source = source
        self.on_read = on_read
        self.versions = versions
        self.pace = pace
        self.timers = timers
        self.log = log
        self.confirmations = confirmations
        self.bound = bound
        self.min_gap = min_gap
        self.cursor = None
        self.is_resuming = False
        self.has_changed = False
        self.is_reachable = None
        self.largest_row = 0
        self.clock = clock
        self.watch = None
        self.call_number = self.answered_number = 0
        self.cause = "start"
        self.arrival = None
        self.failures = 0
        self.failed_at = None
        self.latest_failures = deque(maxlen=MAX_LOGGED_FAILURES)
        self.answered_at = None
        self.reported_at = None
        self.catch_up_to = StorePosition()
        self.seen_to = StorePosition()
        versions.listeners[table] = self.handle_newer_position
        versions.era_listeners[table] = lambda era: self.handle_newer_position(
            StorePosition(era)
        )

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._call_store()

    def _call_store(self):
        """Read or watch; the responses to earlier calls are ignored."""
        self.call_number += 1
        number = self.call_number
        wait = 0.0 if self.cursor is None else self._next_wait()
        call = _Call(
            number=number,
            kind="read" if self.cursor is None else "watch",
            cause=self.cause,
            wait=round(wait, 4),
            peers=self.pace.count_peers(),
            sent_at=self.clock(),
        )

        def on_reply(read):
            if number == self.call_number:
                self.answered_number, self.watch = number, None
                self._record_arrival(call, read)
                self._handle_safely(read)

        if self.cursor is None:
            self.source.read(on_reply)
            return
        watch = self.source.watch(
            self.cursor, wait, on_reply, max_bytes=self._max_bytes()
        )
        if number == self.call_number > self.answered_number:
            self.watch = watch
            is_strict = self.confirmations.is_strict(self.table)
            if wait > WATCH_SECONDS or (wait and is_strict):
                self._check_age(number)

    def _check_age(self, number):
        """Ask again if nobody has had an answer while a long watch is open."""
        if number != self.call_number or number == self.answered_number:
            return
        left = self.confirmations.due(self.table) - self.clock()
        if left > 0 or self.is_being_answered:
            delay = max(left, CATCH_UP_DELAY)
            self.timers.after(delay, lambda: self._check_age(number))
            return
        self.log.decision(
            self.table,
            outcome="unconfirmed",
            known=self.cursor,
            age=round(self.clock() - self.confirmations.confirmed_at[self.table], 3),
            peers=self.pace.count_peers(),
            dropped_call=number,
        )
        self._resume("unconfirmed")

    def _record_arrival(self, call, read):
        """Record how an answer, or the lack of one, was obtained."""
        now = self.clock()
        self.arrival = Arrival(
            call=call.number,
            call_kind=call.kind,
            cause=call.cause,
            wait=call.wait,
            peers=call.peers,
            took=round(now - call.sent_at, 4),
            since_answer=_seconds_since(self.answered_at, now),
            since_report=_seconds_since(self.reported_at, now),
        )
        if read.is_known:
            self.answered_at = now
            self.confirmations.record_answer(self.table, now=now)

    def _next_wait(self):
        """Return for how many seconds the next watch waits for a change."""
        if self.is_resuming:
            return 0.0
        wait = self.pace.stretch(WATCH_SECONDS)
        # A change ends the watches of all instances at once. Their next ones
        # end at different times, so that some instance soon notices if all
        # connections fall silent.
        return self.pace.spread(wait) if self.has_changed else wait

    def _max_bytes(self):
        """Return the largest answer to a watch that is worth reading.

        It contains every version of a row that was missed, and a full read
        only the latest one.
        """
        if not self.largest_row:
            return None
        return max(MIN_CHANGES, MAX_VERSIONS * self.largest_row)

    def _resume(self, cause):
        """Ask for changes on another connection, and drop the open watch."""
        self.cause = cause
        watch, self.watch = self.watch, None
        if watch is not None:
            watch.cancel()
        self.is_resuming = True
        self._call_store()

    @property
    def is_being_answered(self):
        """Return whether a part of the answer to the open watch has come."""
        return self.watch is not None and self.watch.is_arriving

    def handle_silence(self):
        """Handle that another call to the store got no answer."""
        if self.cursor is None or self.is_resuming:
            return
        if not self.is_being_answered:
            self._resume("silence of another call")

    def _handle_safely(self, read):
        """Handle a read; one that cannot be applied is made again."""
        try:
            self._handle_read(read)
        except Exception:
            # The watch must go on, and the store's client serves others too.
            logger.exception("[store] A read of %s was not applied.", self.table)
            self.cursor = None
            self.cause = "answer not applied"
            self._call_store_after(WATCH_SECONDS)

    def _handle_read(self, read):
        self._log_contact(read)
        is_outdated = read.cursor is not None and read.cursor.era < self.versions.era
        if is_outdated:
            self.log.decision(self.table, outcome="outdated", known=read.cursor)
        if not read.is_known:
            is_first = self.cursor is not None and not self.is_resuming
            self.is_resuming = True
            self.cause = "failure"
            self.on_read(read)
            self._call_store_after(0.0 if is_first else RETRY_DELAY)
            return
        self.is_resuming = False
        if is_outdated:
            self.cursor = None
            self.cause = "earlier era"
            self._call_store_after(RETRY_DELAY)
            return
        if read.cursor is None and self.cursor is not None:
            self.log.decision(self.table, outcome="full read", reason=read.reason)
        self.cursor = read.cursor
        self.cause = "previous answer" if read.cursor else "full read needed"
        self.largest_row = read.largest_row or self.largest_row
        self.has_changed = read.changed.ver > 0
        self.on_read(read)
        self._record_applied(read)
        gap = (
            self.pace.stretch(self.min_gap, max_seconds=MAX_GAP)
            if self.min_gap
            else 0.0
        )
        self._call_store_after(gap if read.cursor is not None else RETRY_DELAY)

    def _record_applied(self, read):
        """Record which changes are in force now, also for the peers."""
        is_whole = self.arrival.call_kind == "read" and read.cursor is not None
        self.seen_to = max(self.seen_to, read.cursor if is_whole else read.changed)
        if self.seen_to >= self.catch_up_to:
            self.reported_at = None
        self.versions.record(self.table, read.changed)
        if read.cursor is not None and self.reported_at is None:
            self.confirmations.record_applied(self.table, read)

    def _log_contact(self, read):
        """Log a call that failed after others that did not, or the reverse."""
        if read.is_known != self.is_reachable:
            self.is_reachable = read.is_known
            self.log.decision(
                self.table,
                outcome="reached" if read.is_known else "lost",
                reason=read.reason,
                failures=self.failures,
                failed_for=_seconds_since(self.failed_at, self.clock()),
                latest_failures=tuple(self.latest_failures),
                **self.arrival._asdict(),
            )
        if read.is_known:
            self.failures, self.failed_at = 0, None
            self.latest_failures.clear()
            return
        self.failures += 1
        self.latest_failures.append(read.reason)
        if self.failed_at is None:
            self.failed_at = self.clock()

    def _call_store_after(self, delay):
        number = self.call_number
        self.timers.after(
            delay, lambda: number == self.call_number and self._call_store()
        )

    def handle_newer_position(self, position):
        """Handle a report that the store has come to this position."""
        if position <= max(self.catch_up_to, self.seen_to):
            return
        is_catching_up = self.reported_at is not None
        self.catch_up_to = position
        if not is_catching_up:
            self.reported_at = self.clock()
            self._catch_up_after(CATCH_UP_DELAY)

    def _catch_up_after(self, delay):
        reported_at = self.reported_at
        self.timers.after(
            delay, lambda: reported_at == self.reported_at and self._catch_up(delay)
        )

    def _catch_up(self, delay):
        """Ask for the changes that peers know until they are known here.

        An answer may lack a change that a peer has seen. A failed call is
        made again by itself, and one that was dropped for each report might
        never end.

        Parameters
        ----------
        delay : float
            Seconds since the time before.
        """
        is_asking = self.cursor is None or self.failures > 0
        is_asking |= self.is_resuming and self.watch is not None
        if not is_asking and not self.is_being_answered:
            delay = min(2 * delay, CATCH_UP_SHARE * self.bound)
            self._ask_for_reported()
        self._catch_up_after(delay)

    def _ask_for_reported(self):
        is_passed_over = self.cursor >= self.catch_up_to
        self.log.decision(
            self.table,
            outcome="passed over" if is_passed_over else "behind",
            known=self.cursor,
            seen=self.seen_to,
            heard=self.catch_up_to,
            reported_for=_seconds_since(self.reported_at, self.clock()),
            peers=self.pace.count_peers(),
            dropped_call=self.call_number,
        )
        if is_passed_over or self.cursor.era < self.catch_up_to.era:
            self.cursor = None
        self._resume("report of a peer")


def _seconds_since(start, now):
    return None if start is None else round(now - start, 4)
