"""Discrete-event simulation of instances that decide independently."""

import heapq
import itertools
import random

from wagtailfront.bench.engine_model import Job
from wagtailfront.bench.records import Network, Record
from wagtailfront.decisions.work import Role
from wagtailfront.outcome import Refused

__all__ = ["Simulation"]

TICK_SECONDS = 0.25
RETRY_DELAY_SECONDS = 0.1
MAX_ATTEMPTS = 8


class Simulation:
    """Engines, instances and requests on one virtual clock.

    Parameters
    ----------
    engines : iterable of EngineModel
    policies : sequence of RoutingPolicy
        One per instance; they share nothing.
    arrivals : iterable of Arrival
        In order of time.
    seed : int
        Seed of message losses and of the phases of timers.
    next_arrival : callable or None
        Called with the Record of each request that ended, and the time;
        returns the next Arrival of a closed-loop client, or None.
    network : Network
    """

    def __init__(
        self, *, engines, policies, arrivals, seed, next_arrival=None, network=None
    ):
        self.engines = {engine.name: engine for engine in engines}
        self.policies = list(policies)
        self.arrivals = iter(arrivals)
        self.next_arrival = next_arrival
        self.network = network or Network()
        self.rng = random.Random(seed)
        self.records = {}
        self.in_progress = [{} for _ in self.policies]
        self.queue = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.last_event = dict.fromkeys(self.engines, -1)

    def schedule(self, time, action, *arguments):
        """Schedule `action(*arguments)` at `time`."""
        heapq.heappush(self.queue, (time, next(self.numbers), action, arguments))

    def run(self, *, until):
        """Run until the time `until`; return the records by request id."""
        for index in range(len(self.policies)):
            self.schedule(self.rng.random() * TICK_SECONDS, self._tick, index)
        for name in self.engines:
            phase = self.rng.random() * self.network.report_interval
            self.schedule(phase, self._publish, name)
        self._schedule_next_arrival()
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        return self.records

    def handle_arrival(self, arrival):
        """Place a request that arrives at its instance."""
        record = Record(arrival=arrival, engines=[], sent_at=[], probes_at=[])
        self.records[arrival.work.request_id] = record
        self._place(record, ())

    def change_role(self, name, role, seconds):
        """Change an engine's role; its jobs are placed again."""
        for job in self.engines[name].change_role(role, self.now, seconds):
            self._on_lost_job(job)

    def _schedule_next_arrival(self):
        arrival = next(self.arrivals, None)
        if arrival is not None:
            self.schedule(arrival.at, self._handle_next_arrival, arrival)

    def _handle_next_arrival(self, arrival):
        self._schedule_next_arrival()
        self.handle_arrival(arrival)

    def _place(self, record, exclude):
        arrival = record.arrival
        placed = self.policies[arrival.instance].place(
            arrival.work,
            now=self.now,
            exclude=exclude,
            attempt=len(record.engines) + 1,
        )
        if isinstance(placed, Refused):
            record.failed = bool(record.engines)
            record.refused, record.refused_at = placed, self.now
            self._end(record)
            return
        self._send(record, placed, imported=False)

    def _send(self, record, placed, *, imported):
        work = record.arrival.work
        role = self.engines[placed.engine].role
        job = Job(
            request_id=work.request_id,
            prompt_tokens=work.prompt_tokens + record.prior_tokens,
            output_tokens=record.arrival.output_tokens - record.prior_tokens,
            priority=placed.priority,
            pieces=work.pieces,
            fingerprint=work.fingerprint,
            imported=imported,
            prefill_only=role is Role.PREFILL and not imported,
        )
        record.engines.append(placed.engine)
        record.sent_at.append(self.now)
        if placed.is_probe:
            record.probes_at.append(self.now)
        self.in_progress[record.arrival.instance][work.request_id] = record
        delay = self.network.kv_transfer if imported else self.network.one_way
        self.schedule(self.now + delay, self._submit, record, placed.engine, job)

    def _submit(self, record, name, job):
        if record.engines[-1] != name or record.finished is not None:
            return
        engine = self.engines[name]
        if not engine.submit(job, self.now):
            self._on_lost_job(job)
        elif not engine.stepping:
            self._begin_step(engine)

    def _begin_step(self, engine):
        seconds = engine.begin_step(self.now)
        if seconds is not None:
            self.schedule(self.now + seconds, self._end_step, engine)

    def _end_step(self, engine):
        for event in engine.end_step(self.now):
            if event.kind == "lost":
                self._on_lost_job(event.job)
            else:
                delay = self.network.one_way
                self.schedule(self.now + delay, self._on_job_event, engine.name, event)
        self._begin_step(engine)

    def _on_job_event(self, name, event):
        record = self.records[event.job.request_id]
        # An event of an attempt that was moved or has ended is ignored.
        if record.engines[-1] != name or record.finished is not None:
            return
        policy = self.policies[record.arrival.instance]
        request_id = event.job.request_id
        if event.kind == "first_token":
            if record.first_token is None:
                record.first_token = self.now
            policy.handle_first_token(request_id, now=self.now)
        elif record.prior_tokens + event.job.output_tokens > 1 and (
            event.job.prefill_only
        ):
            self._start_decode_stage(record)
        else:
            record.finished = self.now
            policy.finished(request_id, record.arrival.output_tokens, now=self.now)
            self._end(record)

    def _start_decode_stage(self, record):
        """Place a request that was prefilled on an engine that decodes."""
        record.prior_tokens += 1
        if record.prior_tokens >= record.arrival.output_tokens:
            record.finished = self.now
        policy = self.policies[record.arrival.instance]
        if record.finished is not None:
            policy.finished(
                record.arrival.work.request_id, record.prior_tokens, now=self.now
            )
            self._end(record)
            return
        placed = policy.place_decode(record.arrival.work, now=self.now)
        if isinstance(placed, Refused):
            record.failed = True
            self._end(record)
        else:
            self._send(record, placed, imported=True)

    def _on_lost_job(self, job):
        """Place a request again whose engine rejected or dropped it."""
        record = self.records[job.request_id]
        policy = self.policies[record.arrival.instance]
        policy.failed(job.request_id, now=self.now)
        if len(record.engines) >= MAX_ATTEMPTS:
            record.failed = True
            self._end(record)
            return
        self.schedule(
            self.now + RETRY_DELAY_SECONDS,
            self._place,
            record,
            (record.engines[-1],),
        )

    def _move(self, record):
        """Place the rest of a request on another engine."""
        name = record.engines[-1]
        request_id = record.arrival.work.request_id
        engine = self.engines[name]
        # Without a job the request or its last token is in transit.
        if request_id not in engine.jobs:
            return
        record.prior_tokens += engine.generated_tokens(request_id)
        engine.cancel(request_id)
        self._place(record, (name,))

    def _end(self, record):
        arrival = record.arrival
        self.in_progress[arrival.instance].pop(arrival.work.request_id, None)
        if self.next_arrival is None:
            return
        following = self.next_arrival(record, self.now)
        if following is not None:
            self.schedule(following.at, self.handle_arrival, following)

    def _tick(self, index):
        policy = self.policies[index]
        for request_id, record in self.in_progress[index].items():
            engine = self.engines[record.engines[-1]]
            # Without a job the request or its last token is in transit.
            if request_id in engine.jobs:
                tokens = record.prior_tokens + engine.generated_tokens(request_id)
                policy.record_progress(request_id, tokens, now=self.now)
        actions = policy.tick(now=self.now)
        for request_id in actions.moves:
            record = self.in_progress[index].get(request_id)
            if record is not None:
                self._move(record)
        arrives = self.now + self.network.one_way
        peers = self.policies[:index] + self.policies[index + 1 :]
        for name, peer in itertools.product(actions.slow_hints, peers):
            self.schedule(arrives, self._deliver_hint, peer, name, f"i{index}")
        self.schedule(self.now + TICK_SECONDS, self._tick, index)

    def _deliver_hint(self, policy, name, sender):
        policy.handle_slow_hint(name, sender, now=self.now)

    def _publish(self, name):
        """Send an engine's load and new cache events to the instances."""
        engine = self.engines[name]
        network = self.network
        report = engine.report(self.now)
        self.schedule(self.now + network.report_lag, self._deliver_report, name, report)
        events = engine.events_after(self.last_event[name])
        if events:
            self.last_event[name] = events[-1].number
            lag = network.cache_event_lag
            self.schedule(self.now + lag, self._deliver_events, name, events)
        self.schedule(self.now + network.report_interval, self._publish, name)

    def _deliver_report(self, name, report):
        for policy in self.policies:
            policy.handle_load_report(name, report, now=self.now)

    def _deliver_events(self, name, events):
        loss = self.network.cache_event_loss
        for policy in self.policies:
            received = [each for each in events if self.rng.random() >= loss]
            policy.handle_cache_events(name, received, now=self.now)
