"""Model of an engine with continuous batching, in virtual time."""

import heapq
import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailfront.decisions.work import PIECE_TOKENS, CacheEvent, LoadReport, Role

__all__ = [
    "EngineCosts",
    "SlowSpan",
    "Job",
    "JobEvent",
    "EngineModel",
]

RESTART_SECONDS = 20.0
# A prefill engine has no decode step to protect, so its chunks are larger.
PREFILL_ROLE_CHUNK_FACTOR = 4
MAX_CACHE_EVENTS = 500


class EngineCosts(NamedTuple):
    """Cost of one batching step; seconds and tokens."""

    step_base: float = 0.020
    step_per_sequence: float = 0.0004
    prefill_per_token: float = 0.00008
    chunk_tokens: int = 512
    max_running: int = 48
    cache_pieces: int = 100


class SlowSpan(NamedTuple):
    """Time span; steps that start within it take `factor` times as long."""

    start: float
    end: float
    factor: float


@dataclass(kw_only=True, eq=False, slots=True)
class Job:
    """One attempt at a request on one engine.

    Attributes
    ----------
    output_tokens : int
        Tokens still to generate.
    imported : bool
        Whether the KV cache of the prompt was transferred from another
        engine, so that no prefill is needed.
    prefill_only : bool
        Whether the job ends with its first token.
    prefill_left : int
        Prompt tokens still to prefill.
    first_token_step : int
        Step that generated the first token, or -1.
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 5
    pieces: tuple[int, ...] = ()
    fingerprint: str = ""
    imported: bool = False
    prefill_only: bool = False
    prefill_left: int = 0
    started: bool = False
    first_token_step: int = -1
    ended: bool = False


class JobEvent(NamedTuple):
    """`kind` is `first_token`, `finished` or `lost`."""

    kind: str
    job: Job


@dataclass(kw_only=True, eq=False)
class EngineModel:
    """An engine that runs one batching step at a time.

    The caller owns the clock: `begin_step` returns the step's duration and
    `end_step` returns what happened in it.

    Attributes
    ----------
    prompts, partial : list
        Heaps of (priority, number, job) with the jobs whose prefill has not
        begun and those whose prompt is partly prefilled.
    finishes : list
        Heap of (last step, number, job) with the decoding jobs.
    cache : OrderedDict
        Cached prompt pieces, least recently used first.
    chunk : list
        Jobs and the prompt tokens of each that the current step prefills.
    steps : int
        Steps that have ended.
    decoding, started : int
        Jobs that decode, and jobs that have begun and not ended.
    queued_prefill : int
        Prompt tokens still to prefill.
    """

    name: str
    costs: EngineCosts = EngineCosts()
    role: Role = Role.MIXED
    slow_spans: tuple[SlowSpan, ...] = ()
    crash_fingerprints: frozenset[str] = frozenset()
    prompts: list = field(default_factory=list)
    partial: list = field(default_factory=list)
    finishes: list = field(default_factory=list)
    jobs: dict[str, Job] = field(default_factory=dict)
    cache: OrderedDict = field(default_factory=OrderedDict)
    cache_events: deque = field(default_factory=lambda: deque(maxlen=MAX_CACHE_EVENTS))
    chunk: list = field(default_factory=list)
    steps: int = 0
    decoding: int = 0
    started: int = 0
    queued_prefill: int = 0
    stepping: bool = False
    unavailable_until: float = 0.0
    crashes: int = 0
    busy_seconds: float = 0.0
    numbers: itertools.count = field(default_factory=itertools.count)
    event_numbers: itertools.count = field(default_factory=itertools.count)

    def available(self, now):
        """Return whether the engine accepts jobs at `now`."""
        return now >= self.unavailable_until

    def submit(self, job, now):
        """Queue `job`; return whether the engine accepted it."""
        if not self.available(now):
            return False
        job.prefill_left = 0 if job.imported else job.prompt_tokens
        self.jobs[job.request_id] = job
        self.queued_prefill += job.prefill_left
        heapq.heappush(self.prompts, (job.priority, next(self.numbers), job))
        return True

    def cancel(self, request_id):
        """Drop a job, as when its caller disconnects or its stream moves."""
        job = self.jobs.pop(request_id, None)
        if job is not None:
            self._release(job)

    def generated_tokens(self, request_id):
        """Return the number of tokens that the job has generated so far."""
        job = self.jobs.get(request_id)
        if job is None or job.first_token_step < 0:
            return 0
        return min(1 + self.steps - job.first_token_step, job.output_tokens)

    def change_role(self, role, now, seconds):
        """Change the role, which takes `seconds`; return the dropped jobs."""
        self.role = role
        self.cache.clear()
        return self._drop_all(now + seconds)

    def begin_step(self, now):
        """Plan a step and return its duration, or None when idle."""
        self.chunk = self._plan_chunk()
        if not self.chunk and not self.decoding:
            self.stepping = False
            return None
        tokens = sum(count for _, count in self.chunk)
        costs = self.costs
        seconds = (
            costs.step_base
            + costs.step_per_sequence * self.decoding
            + costs.prefill_per_token * tokens
        )
        seconds *= self._slow_factor(now)
        self.busy_seconds += seconds
        self.stepping = True
        return seconds

    def end_step(self, now):
        """Apply the planned step and return its events."""
        events = []
        self.steps += 1
        self._finish_decodes(events)
        for job, count in self.chunk:
            if job.ended:
                continue
            job.prefill_left -= count
            self.queued_prefill -= count
            if job.prefill_left == 0 and not self._end_prefill(job, now, events):
                break
        self.chunk = []
        return events

    def report(self, now):
        """Return the load at `now`."""
        return LoadReport(
            taken=now,
            running=self.started,
            waiting=len(self.jobs) - self.started,
            queued_prefill_tokens=self.queued_prefill,
            role=self.role,
            available=self.available(now),
        )

    def events_after(self, number):
        """Return the last cache events with a number above `number`."""
        return [event for event in self.cache_events if event.number > number]

    def _plan_chunk(self):
        budget = self.costs.chunk_tokens
        if self.role is Role.PREFILL:
            budget *= PREFILL_ROLE_CHUNK_FACTOR
        chunk = []
        while budget > 0 and (queue := self._next_queue()):
            entry = heapq.heappop(queue)
            job = entry[2]
            if not job.started:
                self._start(job)
            count = min(budget, job.prefill_left)
            budget -= count
            chunk.append((job, count))
            if count < job.prefill_left:
                heapq.heappush(self.partial, entry)
        return chunk

    def _next_queue(self):
        """Return the heap with the next prompt to prefill, or None."""
        for queue in (self.prompts, self.partial):
            while queue and queue[0][2].ended:
                heapq.heappop(queue)
        is_full = self.started >= self.costs.max_running
        if self.prompts and not is_full:
            if not self.partial or self.prompts[0] < self.partial[0]:
                return self.prompts
        return self.partial or None

    def _start(self, job):
        job.started = True
        self.started += 1
        if job.imported:
            return
        hits = itertools.takewhile(self.cache.__contains__, job.pieces)
        cached = 0
        for piece in hits:
            self.cache.move_to_end(piece)
            cached += PIECE_TOKENS
        # The last prompt token is always computed: it yields the first output.
        saved = min(cached, job.prompt_tokens - 1)
        job.prefill_left -= saved
        self.queued_prefill -= saved

    def _end_prefill(self, job, now, events):
        if job.fingerprint in self.crash_fingerprints:
            self.crashes += 1
            self.cache.clear()
            lost = self._drop_all(now + RESTART_SECONDS)
            events.extend(JobEvent("lost", each) for each in lost)
            return False
        self._store_pieces(job)
        events.append(JobEvent("first_token", job))
        job.first_token_step = self.steps
        if job.prefill_only or job.output_tokens <= 1:
            self._complete(job, events)
        else:
            self.decoding += 1
            finish = self.steps + job.output_tokens - 1
            heapq.heappush(self.finishes, (finish, next(self.numbers), job))
        return True

    def _finish_decodes(self, events):
        while self.finishes and self.finishes[0][0] <= self.steps:
            job = heapq.heappop(self.finishes)[2]
            if not job.ended:
                self._complete(job, events)

    def _complete(self, job, events):
        self.jobs.pop(job.request_id, None)
        self._release(job)
        events.append(JobEvent("finished", job))

    def _release(self, job):
        job.ended = True
        self.queued_prefill -= job.prefill_left
        job.prefill_left = 0
        self.started -= job.started
        is_decoding = job.first_token_step >= 0 and not job.prefill_only
        self.decoding -= is_decoding and job.output_tokens > 1

    def _store_pieces(self, job):
        for piece in job.pieces:
            if piece not in self.cache:
                self._record_cache_event(piece, True)
            self.cache[piece] = None
            self.cache.move_to_end(piece)
        while len(self.cache) > self.costs.cache_pieces:
            self._record_cache_event(self.cache.popitem(last=False)[0], False)

    def _record_cache_event(self, piece, stored):
        number = next(self.event_numbers)
        self.cache_events.append(CacheEvent(number, piece, stored))

    def _drop_all(self, until):
        self.unavailable_until = until
        dropped = list(self.jobs.values())
        for job in dropped:
            self._release(job)
        self.jobs.clear()
        self.prompts.clear()
        self.partial.clear()
        self.finishes.clear()
        self.chunk = []
        return dropped

    def _slow_factor(self, now):
        factors = [s.factor for s in self.slow_spans if s.start <= now < s.end]
        return max(factors, default=1.0)
