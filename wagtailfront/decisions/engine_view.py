"""Estimate of each engine's load, as seen by one instance."""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailfront.decisions.work import LoadReport, Role, Size, Work

__all__ = ["NominalCosts", "SentRequest", "EngineView", "FleetView"]

# History of own load; must exceed the expected lag of any report.
HISTORY_SECONDS = 15.0
# Added to both counts of own requests, so that a few do not look like growth.
GROWTH_SMOOTHING = 4.0
MAX_GROWTH = 6.0
# A queue above this contains long prompts; short prompts are prefilled before
# the report arrives.
LONG_QUEUE_TOKENS = 6_000
# Weight of a new report in the share of time for long prompts.
BUSY_WEIGHT = 0.3
# The same over about 20 s, which decides how many engines long work gets.
LONG_TERM_BUSY_WEIGHT = 0.05
# Weight of a new report in the peers' mean load; covers about 10 s.
MEAN_LOAD_WEIGHT = 0.1
# Weight of a finished request in the mean residence time.
RESIDENCE_WEIGHT = 0.05
# Weight of a finished request in an engine's slowness; covers about 50.
SLOWNESS_WEIGHT = 0.02
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class NominalCosts(NamedTuple):
    """Nominal costs of one step of an engine's continuous batching.

    Attributes
    ----------
    step_base, step_per_sequence : float
        Seconds of a step, and seconds that each decoding sequence adds.
    prefill_per_token : float
        Seconds that a prompt token adds to its step.
    chunk_tokens : int
        Maximum number of prompt tokens in one step.
    max_running : int
        Maximum number of running requests; others wait in the engine.
    """

    step_base: float = 0.020
    step_per_sequence: float = 0.0004
    prefill_per_token: float = 0.00008
    chunk_tokens: int = 512
    max_running: int = 48

    @property
    def chunk_seconds(self):
        """Return the seconds that a full chunk adds to a step."""
        return self.chunk_tokens * self.prefill_per_token


@dataclass(kw_only=True, slots=True)
class SentRequest:
    """A request that this instance sent to an engine.

    `prefill_tokens`, `output_tokens` and `expected` (seconds until the last
    token) are predictions; `tokens` counts the tokens received.
    """

    work: Work
    engine: str
    at: float
    prefill_tokens: float
    output_tokens: float
    expected: float
    size: Size
    is_probe: bool = False
    first_token_at: float | None = None
    tokens: int = 0
    progress_at: float = 0.0


@dataclass(kw_only=True, slots=True)
class EngineView:
    """Load of one engine as this instance sees it.

    Own requests are those that this instance sent. `own_prefill` counts, by
    size, the prompt tokens of own requests without a first token; `history`
    holds (time, own requests, own prompt tokens without a first token).
    """

    name: str
    role: Role = Role.MIXED
    available: bool = True
    own: dict[str, SentRequest] = field(default_factory=dict)
    own_prefill: list[float] = field(default_factory=lambda: [0.0] * len(Size))
    history: deque = field(default_factory=deque)
    peers_requests: float = 0.0
    peers_prefill: float = 0.0
    mean_requests: float | None = None
    mean_prefill: float = 0.0
    prefill_busy: float = 0.0
    long_term_busy: float = 0.0
    slowness: float = 1.0

    def add(self, sent):
        """Count a request as sent."""
        self.own[sent.work.request_id] = sent
        self.own_prefill[sent.size] += sent.prefill_tokens

    def handle_first_token(self, request_id, now):
        """Count a request's prompt as prefilled."""
        sent = self.own.get(request_id)
        if sent is None or sent.first_token_at is not None:
            return
        sent.first_token_at = sent.progress_at = now
        self.own_prefill[sent.size] -= sent.prefill_tokens

    def remove(self, request_id):
        """Stop counting a request; return it, or None when unknown."""
        sent = self.own.pop(request_id, None)
        if sent is not None and sent.first_token_at is None:
            self.own_prefill[sent.size] -= sent.prefill_tokens
        return sent

    def record_own_load(self, now):
        """Record the present own load, to subtract it from later reports."""
        self.history.append((now, len(self.own), sum(self.own_prefill)))
        while self.history[0][0] < now - HISTORY_SECONDS:
            self.history.popleft()

    def handle_report(self, report: LoadReport):
        """Derive the peers' load: the reported load minus own load then."""
        own_requests, own_prefill = self._own_at(report.taken)
        requests = report.running + report.waiting
        self.peers_requests = max(0.0, requests - own_requests)
        self.peers_prefill = max(0.0, report.queued_prefill_tokens - own_prefill)
        if self.mean_requests is None:
            self.mean_requests = self.peers_requests
            self.mean_prefill = self.peers_prefill
        self.mean_requests += MEAN_LOAD_WEIGHT * (
            self.peers_requests - self.mean_requests
        )
        self.mean_prefill += MEAN_LOAD_WEIGHT * (self.peers_prefill - self.mean_prefill)
        self.role = report.role
        self.available = report.available
        is_busy = report.queued_prefill_tokens > LONG_QUEUE_TOKENS
        self.prefill_busy += BUSY_WEIGHT * (is_busy - self.prefill_busy)
        self.long_term_busy += LONG_TERM_BUSY_WEIGHT * (is_busy - self.long_term_busy)

    def peers_load(self, report_weight):
        """Return the peers' expected requests and waiting prompt tokens.

        Parameters
        ----------
        report_weight : float
            Weight of the last report, 0 to 1; the mean load has the
            remaining weight.
        """
        if self.mean_requests is None:
            return 0.0, 0.0
        mean_weight = 1.0 - report_weight
        return (
            report_weight * self.peers_requests + mean_weight * self.mean_requests,
            report_weight * self.peers_prefill + mean_weight * self.mean_prefill,
        )

    def observe_latency(self, *, expected, actual):
        """Update the engine's slowness with a finished request.

        `slowness` scales the nominal costs to the engine's real capacity.
        `expected` was computed with the slowness at the time of sending.
        """
        ratio = min(max(actual / expected, 1 / MAX_SLOWNESS), MAX_SLOWNESS)
        slowness = self.slowness * ratio**SLOWNESS_WEIGHT
        self.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)

    def _own_at(self, time):
        earlier = [entry for entry in self.history if entry[0] <= time]
        return earlier[-1][1:] if earlier else (0, 0.0)


class FleetView:
    """Views of all engines, and the load of this instance over all of them.

    Parameters
    ----------
    engines : iterable of str
    """

    def __init__(self, *, engines):
        self.views = {name: EngineView(name=name) for name in engines}
        self.sent = {}
        self.own_counts = deque()
        self.report_taken = None
        self.mean_residence = 0.0
        self.mean_square_residence = 0.0

    def add(self, sent):
        """Count a request as sent to its engine."""
        self.sent[sent.work.request_id] = sent
        self.views[sent.engine].add(sent)

    def remove(self, request_id):
        """Stop counting a request; return it, or None when unknown."""
        sent = self.sent.pop(request_id, None)
        if sent is not None:
            self.views[sent.engine].remove(request_id)
        return sent

    def handle_first_token(self, request_id, now):
        """Count a request's prompt as prefilled; return it, or None."""
        sent = self.sent.get(request_id)
        if sent is not None:
            self.views[sent.engine].handle_first_token(request_id, now)
        return sent

    def handle_report(self, engine, report):
        """Update an engine's view with a load report, which lags."""
        self.views[engine].handle_report(report)
        self.report_taken = max(report.taken, self.report_taken or 0.0)

    def record_own_load(self, now):
        """Record own load on all engines; call every tick."""
        self.own_counts.append((now, len(self.sent)))
        while self.own_counts[0][0] < now - HISTORY_SECONDS:
            self.own_counts.popleft()
        for view in self.views.values():
            if view.own or (view.history and view.history[-1][1]):
                view.record_own_load(now)

    def observe_residence(self, seconds):
        """Record the seconds that a finished request was on its engine."""
        self.mean_residence += RESIDENCE_WEIGHT * (seconds - self.mean_residence)
        self.mean_square_residence += RESIDENCE_WEIGHT * (
            seconds * seconds - self.mean_square_residence
        )

    def report_weight(self, now):
        """Return the weight of the newest reports in load estimates, 0 to 1.

        The weight decays exponentially with the reports' age, relative to the
        mean residence time of the requests in progress. With full weight on
        old reports, all instances would choose the same engine until the next
        report.
        """
        if self.report_taken is None or self.mean_residence <= 0.0:
            return 0.0
        in_progress = self.mean_square_residence / self.mean_residence
        return math.exp(-(now - self.report_taken) / in_progress)

    def prefill_busy(self, *, without=()):
        """Return the mean share of time that engines prefill long prompts."""
        shares = [
            view.prefill_busy
            for view in self.views.values()
            if view.available and view.name not in without
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def long_work(self):
        """Return the number of engines that long prompts keep busy."""
        return sum(view.long_term_busy for view in self.views.values())

    def growth(self):
        """Return the growth factor of own load since the newest report.

        Callers choose their instances at random, so the peers' load has most
        likely grown by the same factor.
        """
        if self.report_taken is None:
            return 1.0
        before = next(
            (
                count
                for at, count in reversed(self.own_counts)
                if at <= self.report_taken
            ),
            0,
        )
        ratio = (len(self.sent) + GROWTH_SMOOTHING) / (before + GROWTH_SMOOTHING)
        return min(ratio, MAX_GROWTH)
