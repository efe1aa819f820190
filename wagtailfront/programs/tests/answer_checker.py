"""Checks that each whole request gets a whole answer within its time."""

import itertools
import json
import time
from collections import defaultdict
from typing import NamedTuple

__all__ = ["AnswerChecker", "Ending", "LostRequest", "read_decisions"]

SLACK = 0.25  # seconds beyond the limit of a request
KNOWN_SECONDS = 2.0  # seconds in which a change comes into force
DENIALS = {400, 401, 403, 404, 405, 411, 413, 414, 417, 431, 500, 501, 505}
REQUEST_ENDED = "the request has ended"
BROKEN_OFF = ("reset", "closed by the endpoint", "read:", "write:")


class Ending(NamedTuple):
    """How a caller saw the end of a whole request; times in seconds.

    Attributes
    ----------
    sent_at : float
        When its last byte was sent and the answer before it was complete.
    status : int
        0 if no head was received.
    failure : str
        Empty if the answer is whole.
    behind : str
        Earlier request of the connection whose end closed it, if any.
    """

    request: str
    instance: str
    path: str
    limit: float
    sent_at: float
    ended_at: float
    status: int
    failure: str
    events: tuple = ()
    behind: str = ""

    @property
    def took(self):
        """Return the seconds until the end."""
        return self.ended_at - self.sent_at


class LostRequest(NamedTuple):
    """A request without a whole answer, `after_change` seconds after one."""

    ending: Ending
    reason: str
    after_change: float
    share_used: float


class AnswerChecker:
    """Collects how requests ended; finds those without a whole answer.

    Examples
    --------
    >>> checker = AnswerChecker()
    >>> checker.record_change({"/a/": 1.0}, at=0.0)
    >>> ending = Ending("r1", "i0", "/a/", 1.0, 5.0, 5.2, 0, "reset")
    >>> checker.record_ending(ending)
    >>> [lost.reason for lost in checker.find_lost({})]
    ['reset']
    """

    def __init__(self):
        self.changes = []  # time, timeout of each route
        self.endings = []
        self.traces = defaultdict(list)

    def record_change(self, timeouts, *, at):
        """Record a change of the configuration with the routes' timeouts."""
        self.changes.append((at, timeouts))

    def record_ending(self, ending):
        """Record how a request ended."""
        self.endings.append(ending)

    def trace(self, request, text):
        """Record what an endpoint did with a request."""
        self.traces[request].append((time.monotonic(), text))

    def shortest_limit(self, ending):
        """Return the shortest limit of a request that may be in force."""
        starts = [at for at, _timeouts in self.changes]
        ends = [*starts[1:], float("inf")]
        began = ending.sent_at - KNOWN_SECONDS
        timeouts = [
            timeouts[ending.path]
            for start, end, (_at, timeouts) in zip(
                starts, ends, self.changes, strict=True
            )
            if end > began and start < ending.ended_at
        ]
        return min([ending.limit, *timeouts])

    def after_change(self, ending):
        """Return the seconds from the last change to the end of a request."""
        before = [at for at, _timeouts in self.changes if at <= ending.ended_at]
        return ending.ended_at - max(before, default=float("-inf"))

    def find_ended_without_answer(self):
        """Return a LostRequest for each ending without a whole answer."""
        return [
            LostRequest(
                ending,
                ending.failure,
                round(self.after_change(ending), 3),
                round(ending.took / self.shortest_limit(ending), 2),
            )
            for ending in self.endings
            if ending.failure
        ]

    def find_lost(self, decisions):
        """Return those that neither a deadline nor an engine's reset ended.

        Parameters
        ----------
        decisions : mapping
            Lines of the instances' logs by request.
        """
        unanswered = self.find_ended_without_answer()
        endings = {lost.ending.request: lost.ending for lost in unanswered}
        return [
            lost
            for lost in unanswered
            if not self._is_allowed(
                endings.get(lost.ending.behind, lost.ending), decisions
            )
        ]

    def _is_allowed(self, ending, decisions):
        lines = decisions.get(ending.request, ())
        return (
            bool(ending.failure)
            and not ending.behind
            and (self.is_deadline(ending) or is_broken_off(lines))
        )

    def find_outlasted(self, decisions):
        """Return those cut at a limit after an engine given up had gone on."""
        return [
            lost
            for lost in self.find_ended_without_answer()
            if self.is_deadline(lost.ending)
            and self._has_gone_on(
                lost.ending, given_up(decisions.get(lost.ending.request, ()))
            )
        ]

    def _has_gone_on(self, ending, endpoints):
        texts = {f"{endpoint} went on" for endpoint in endpoints}
        return any(
            text in texts and at < ending.ended_at
            for at, text in self.traces[ending.request]
        )

    def find_denied(self):
        """Return endings with a status that blames a sound request."""
        return [end for end in self.endings if end.status in DENIALS]

    def is_deadline(self, ending):
        """Return whether the limit of a request was reached."""
        return ending.took >= self.shortest_limit(ending) - SLACK

    def find_late(self):
        """Return endings later than the limit of the request."""
        return [end for end in self.endings if end.took > end.limit + SLACK]

    def find_disordered(self):
        """Return whole streams whose events have a gap or another order."""
        return [
            end
            for end in self.endings
            if not end.failure
            and any(b - a != 1 for a, b in itertools.pairwise((0, *end.events)))
        ]


def is_broken_off(lines):
    """Return whether an engine's reset is the last failure of a request."""
    failed = [line["outcome"] for line in lines if line["kind"] == "attempt_failed"]
    return bool(failed) and failed[-1].startswith(BROKEN_OFF)


def given_up(lines):
    """Return the endpoints whose silent runs ended before the request did."""
    return {
        line["endpoint"]
        for line in lines
        if (line["kind"], line["outcome"]) == ("silent", "ended")
        and line["reason"] != REQUEST_ENDED
    }


def read_decisions(folder):
    """Return the lines of the instances' decision logs by request."""
    decisions = defaultdict(list)
    for path in sorted(folder.glob("*.jsonl")):
        for text in path.read_text().splitlines():
            line = json.loads(text)
            decisions[line.get("request", "")].append(line)
    return decisions
