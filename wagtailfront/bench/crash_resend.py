"""Scenario in which a crashing request is resent through all instances."""

import random

from wagtailfront.bench.engine_model import EngineModel
from wagtailfront.bench.setup import ENGINES, INSTANCES, POLICIES
from wagtailfront.bench.simulation import Simulation
from wagtailfront.bench.workload import MIXES, Workload
from wagtailfront.decisions.crash_evidence import CrashEvidence, Decision
from wagtailfront.outcome import Refused

__all__ = ["CrashSimulation", "crash_resend"]

FINGERPRINT = "crasher"
FIRST_SENT_SECONDS = 20.0
RESEND_PAUSE_SECONDS = 0.1
END_SECONDS = 90.0
TAIL_SECONDS = 60.0
REQUESTS_PER_SECOND = 6.0
# Reports between instances are delayed by up to this many seconds, and a
# share of them is delivered twice.
MAX_REPORT_DELAY = 5.0
DUPLICATED_SHARE = 0.3
REPORT_SECONDS = 1.0
RECHECK_SECONDS = 0.05


class CrashSimulation(Simulation):
    """Simulation whose instances exchange crash evidence with delays.

    Parameters
    ----------
    uses_crash_evidence : bool
        False sends every request to the engine that the policy chooses.
    **settings
        Parameters of Simulation.
    """

    def __init__(self, *, uses_crash_evidence, **settings):
        super().__init__(**settings)
        self.uses_crash_evidence = uses_crash_evidence
        self.evidence = [CrashEvidence() for _ in self.policies]
        self.crashes_seen = dict.fromkeys(self.engines, 0)
        if uses_crash_evidence:
            for index in range(len(self.policies)):
                self.schedule(REPORT_SECONDS, self._report, index)

    def _place(self, record, exclude):
        if not self.uses_crash_evidence:
            super()._place(record, exclude)
            return
        arrival = record.arrival
        index = arrival.instance
        live = self._peers(index)
        evidence = self.evidence[index]
        fingerprint = _fingerprint(arrival.work)
        placement = evidence.place(
            fingerprint,
            endpoints=[n for n, e in self.engines.items() if e.available(self.now)],
            live=live,
            now=self.now,
        )
        is_settled = evidence.settled(fingerprint, live=live, now=self.now)
        if placement.decision is Decision.REFUSE and is_settled:
            self._refuse(record)
        elif placement.decision is not Decision.SEND:
            self.schedule(self.now + RECHECK_SECONDS, self._place, record, exclude)
        elif placement.endpoint is None:
            # Load reports show crashed engines late; none is tried twice.
            failed = set(record.engines) | set(exclude)
            super()._place(
                record, tuple(failed) if len(failed) < len(ENGINES) else exclude
            )
        else:
            others = tuple(set(self.engines) - {placement.endpoint})
            super()._place(record, others)

    def _refuse(self, record):
        # A refusal has the verdict not_run, which is wrong once an attempt was
        # sent.
        if record.engines:
            record.failed = True
        else:
            record.refused_at = self.now
            record.refused = Refused(
                reason="The request has crashed two endpoints.", code="crashing_request"
            )
        self._end(record)

    def _send(self, record, placed, *, imported):
        work = record.arrival.work
        self.evidence[record.arrival.instance].start(_fingerprint(work), placed.engine)
        super()._send(record, placed, imported=imported)

    def _on_job_event(self, name, event):
        super()._on_job_event(name, event)
        record = self.records[event.job.request_id]
        if event.kind == "finished" and record.engines[-1] == name:
            self._end_attempt(record, CrashEvidence.complete)

    def _move(self, record):
        self._end_attempt(record, CrashEvidence.cancel)
        super()._move(record)

    def _on_lost_job(self, job):
        record = self.records[job.request_id]
        name = record.engines[-1]
        engine = self.engines[name]
        if engine.crashes > self.crashes_seen[name]:
            self.crashes_seen[name] = engine.crashes
            for index, evidence in enumerate(self.evidence):
                if evidence.record_crash(
                    name, f"{name}#{engine.crashes}", now=self.now
                ):
                    self._broadcast(index)
        self._end_attempt(record, CrashEvidence.cancel)
        super()._on_lost_job(job)

    def _end_attempt(self, record, end):
        index = record.arrival.instance
        evidence = self.evidence[index]
        fingerprint = _fingerprint(record.arrival.work)
        attempt = (fingerprint, record.engines[-1])
        if attempt in evidence.in_flight:
            end(evidence, *attempt)
            if fingerprint in evidence.suspicions:
                self._broadcast(index)

    def _report(self, index):
        """Send the crash evidence of an instance to its peers, repeatedly."""
        self._broadcast(index)
        self.schedule(self.now + REPORT_SECONDS, self._report, index)

    def _broadcast(self, index):
        items = self.evidence[index].report(now=self.now)
        if not items or not self.uses_crash_evidence:
            return
        for peer in self._peers(index):
            copies = 1 + (self.rng.random() < DUPLICATED_SHARE)
            for _ in range(copies):
                arrives = self.now + self.rng.uniform(0.001, MAX_REPORT_DELAY)
                self.schedule(arrives, self._merge, peer, index, items)

    def _merge(self, index, peer, items):
        if self.evidence[index].merge(peer, items, now=self.now):
            self._broadcast(index)

    def _peers(self, index):
        return [peer for peer in range(len(self.policies)) if peer != index]


def crash_resend(policy, seed, options):
    """Resend a crashing request through each instance in turn."""
    workload = Workload(seed=seed, instances=INSTANCES)
    crashing_workload = Workload(seed=seed, instances=INSTANCES, name="x")

    def resend(instance, at):
        arrival = crashing_workload.draw(
            {"label": 1}, at=at, instance=instance, client="x"
        )
        work = arrival.work._replace(fingerprint=FINGERPRINT)
        return arrival._replace(work=work)

    def next_arrival(record, now):
        following = record.arrival.instance + 1
        if not record.arrival.client or following == INSTANCES:
            return None
        return resend(following, now + RESEND_PAUSE_SECONDS)

    simulation = CrashSimulation(
        uses_crash_evidence=policy == "expected-finish",
        engines=[
            EngineModel(name=name, crash_fingerprints=frozenset([FINGERPRINT]))
            for name in ENGINES
        ],
        policies=[
            POLICIES[policy](random.Random(f"{seed} {index}"))
            for index in range(INSTANCES)
        ],
        arrivals=workload.poisson(
            MIXES["day"], rate=lambda at: REQUESTS_PER_SECOND, until=END_SECONDS
        ),
        seed=seed,
        next_arrival=next_arrival,
    )
    first = resend(0, FIRST_SENT_SECONDS)
    simulation.schedule(FIRST_SENT_SECONDS, simulation.handle_arrival, first)
    records = simulation.run(until=END_SECONDS + TAIL_SECONDS).values()
    others = [record for record in records if not record.arrival.client]
    return {
        "endpoints_lost": sum(e.crashes > 0 for e in simulation.engines.values()),
        "crashes": sum(engine.crashes for engine in simulation.engines.values()),
        "resends": sum(bool(record.arrival.client) for record in records),
        "others_refused": sum(record.refused is not None for record in others),
        "others_failed": sum(record.failed for record in others),
        "others_unfinished": sum(
            record.finished is None and record.refused is None and not record.failed
            for record in others
        ),
    }


def _fingerprint(work):
    return work.fingerprint or work.request_id
