"""Order of the requests that wait for room at engines."""

import bisect
import itertools
from collections import Counter
from typing import NamedTuple

from wagtailfront.membership.messages import WaitingTokens

__all__ = ["LEVELS_PER_RANK", "WaitingRequests", "waiting_level"]

POLL_INTERVAL = 0.04  # seconds between tries; half of the peers' reports
PEER_LIFETIME = 3.0  # seconds, as of a peer's load
LEVELS_PER_RANK = 32
LEVEL_SECONDS = 0.25  # time left that requests of one level differ by
MAX_LEVELS = 32  # levels of a service in a report


def waiting_level(rank, time_left):
    """Return the place of a request in the order of all instances.

    Lower levels come first: by rank, then by the time left.

    Examples
    --------
    >>> [waiting_level(0, 9.0), waiting_level(1, 0.6), waiting_level(1, 2.0)]
    [31, 34, 40]
    """
    step = min(LEVELS_PER_RANK - 1, max(0, int(time_left / LEVEL_SECONDS)))
    return rank * LEVELS_PER_RANK + step


class _Waiting(NamedTuple):
    rank: int
    latest_start: float
    number: int
    tokens: int
    step: object


class WaitingRequests:
    """Requests of an instance that wait, and what its peers say of theirs.

    A DigestPart.

    Parameters
    ----------
    incarnation : str
        Names this start of the instance.
    timers : Timers
    clock : callable
    """

    def __init__(self, *, incarnation, timers, clock):
        self.incarnation = incarnation
        self.timers = timers
        self.clock = clock
        self.numbers = itertools.count()
        self.own = {}
        self.peers = {}
        self.is_polling = False

    def add(self, service, *, rank, latest_start, tokens, step, number=None):
        """Add a request; return its number.

        Parameters
        ----------
        service : str
        rank : int
        latest_start : float
            Time until which it can wait.
        tokens : int
            KV cache that it takes.
        step : callable
            Tries again to place it, and adds it again if there is no room.
        number : int, optional
            That of the request if it was added before.
        """
        number = next(self.numbers) if number is None else number
        waiting = self.own.setdefault(service, [])
        entry = _Waiting(rank, latest_start, number, tokens, step)
        bisect.insort(waiting, entry, key=lambda each: each[:3])
        self._poll_later()
        return number

    def discard(self, service, number):
        """Remove a request that does not wait any more."""
        waiting = self.own.get(service, ())
        self.own[service] = [each for each in waiting if each.number != number]

    def count(self):
        """Return the number of requests of this instance that wait."""
        return sum(map(len, self.own.values()))

    def tokens_before(self, service, *, rank, latest_start, number=None):
        """Return the tokens for which requests wait that come first.

        Those of this instance in their exact order, those of peers by level
        and then by incarnation, so that no two instances both come first.
        """
        now = self.clock()
        own = self.own_before(
            service, rank=rank, latest_start=latest_start, number=number
        )
        level = (waiting_level(rank, latest_start - now), self.incarnation)
        return own + sum(
            tokens
            for incarnation, (at, report) in self.peers.items()
            if now - at <= PEER_LIFETIME
            for each, tokens in report.get(service, ())
            if (each, incarnation) < level
        )

    def own_before(self, service, *, rank, latest_start, number=None):
        """Return the tokens of requests of this instance that come first."""
        order = (rank, latest_start, -1 if number is None else number)
        return sum(e.tokens for e in self.own.get(service, ()) if e[:3] < order)

    def poll(self):
        """Try those that come first, and those that can wait no longer."""
        self.is_polling = False
        for service in [name for name, waiting in self.own.items() if waiting]:
            self._poll_service(service)
        self.own = {name: waiting for name, waiting in self.own.items() if waiting}
        if self.own:
            self._poll_later()

    def _poll_service(self, service):
        now = self.clock()
        for entry in [e for e in self.own[service] if e.latest_start <= now]:
            self.discard(service, entry.number)
            entry.step()
        while self.own[service]:
            first = self.own[service].pop(0)
            first.step()
            if any(each.number == first.number for each in self.own[service]):
                return

    def _poll_later(self):
        if not self.is_polling:
            self.is_polling = True
            self.timers.after(POLL_INTERVAL, self.poll)

    # DigestPart

    def fields(self, *, now, full):
        """Return the tokens that requests wait for, by service and level."""
        reports = []
        for service, waiting in self.own.items():
            levels = Counter()
            for each in waiting:
                levels[waiting_level(each.rank, each.latest_start - now)] += each.tokens
            if levels:
                first = tuple(sorted(levels.items())[:MAX_LEVELS])
                reports.append(WaitingTokens(service, first))
        return {"waiting": tuple(reports)}

    def merge(self, digest, *, now):
        """Take what a peer says of the requests that wait there."""
        if digest.waiting:
            report = {each.service: each.levels for each in digest.waiting}
            self.peers[digest.incarnation] = (now, report)
        else:
            self.peers.pop(digest.incarnation, None)
