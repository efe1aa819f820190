"""Tests of claims on idempotency keys.

P5: an attempt reported as not run is never run.
P6: a keyed request runs at most once.
"""

import itertools

import msgspec
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from wagtailfront.authority.claim_rows import CLAIMED, RELEASED, Claim, claim_key
from wagtailfront.authority.claims import ClaimMachine
from wagtailfront.authority.effects import Dispatch
from wagtailfront.authority.tests.builders import (
    FAULT_SETTINGS,
    STORE_FAULTS,
    TRANSMISSIONS,
    WAIT,
    Transmission,
)
from wagtailfront.authority.tests.world import Process, World
from wagtailfront.outcome import Answered, Failed, Refused, Verdict

KEYS = [claim_key("shop", "order-desk", name) for name in ("k1", "k2")]
SETTINGS = settings(max_examples=300, stateful_step_count=30)
REPLY_TIMEOUT = 4.0  # seconds until an attempt without an answer fails


class AttemptProcess(Process):
    """Process that makes one attempt at a request."""

    def __init__(self, *, claim_machine, key, fingerprint, seconds, service, **rest):
        super().__init__(**rest)
        self.key = key
        self.service = service
        self.transmission = Transmission()
        self.outcomes = []
        self.machine = claim_machine(
            key=key,
            fingerprint=fingerprint,
            attempt=self.name,
            deadline=self.clock() + seconds,
            new_token=self.world.new_id,
        )

    def step(self, name, method, *arguments):
        effects = getattr(self.machine, method)(self.clock(), *arguments)
        self.perform(name, effects)

    def do_Dispatch(self, name, effect):
        transmission = self.transmission
        if not transmission.delivered:
            refused = Refused(reason="Connect failed.", code="connect")
            self.run(lambda: self.step(name, "on_outcome", refused))
            return

        def arrive():
            answer = self.service(self)

            def reply():
                done = Answered(value=answer)
                self.run(lambda: self.step(name, "on_outcome", done, answer))

            if transmission.answered:
                self.world.schedule.after(transmission.delay, reply)

        failed = Failed(
            reason="No answer.", code="silent", verdict=Verdict.MAY_HAVE_RUN
        )
        self.world.schedule.after(transmission.delay, arrive)
        self.world.schedule.after(
            REPLY_TIMEOUT,
            lambda: self.run(lambda: self.step(name, "on_outcome", failed)),
        )

    def do_Finish(self, name, effect):
        self.outcomes.append(effect.outcome)


class Claims(RuleBasedStateMachine):
    """Attempts at two keyed requests under faults."""

    claim_machine = ClaimMachine

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.check = self.check_event
        self.numbers = itertools.count(1)
        self.processes = []
        self.runs = []  # (key, attempt) of each run at the service

    def serve(self, process):
        """Run a request at the service; the answer names the attempt."""
        self.runs.append((process.key, process.name))
        self.check_event()
        return f"{process.key.sort} by {process.name}".encode()

    def check_event(self):
        """Check what must hold at any time."""

    @rule(
        key=st.sampled_from(KEYS),
        fingerprint=st.sampled_from(["f", "f", "f", "other"]),
        seconds=st.sampled_from([0.5, 3.0, 10.0]),
        faults=st.one_of(st.just([]), STORE_FAULTS),
        transmission=st.one_of(
            st.just(Transmission()), TRANSMISSIONS.map(lambda some: some[0])
        ),
        wait=WAIT,
    )
    def send(self, key, fingerprint, seconds, faults, transmission, wait):
        process = AttemptProcess(
            claim_machine=self.claim_machine,
            key=key,
            fingerprint=fingerprint,
            seconds=seconds,
            service=self.serve,
            world=self.world,
            name=f"a{next(self.numbers)}",
        )
        process.faults.extend(faults)
        process.transmission = transmission
        self.processes.append(process)
        process.step("claim", "start")
        self.world.run_for(wait)

    @rule(seconds=st.sampled_from([0.5, 3.0, 12.0]), wait=WAIT)
    def pause(self, seconds, wait):
        for process in self.processes[-1:]:
            process.is_paused = True
            self.world.schedule.after(seconds, process.resume)
        self.world.run_for(wait)

    @rule(wait=WAIT)
    def kill(self, wait):
        for process in self.processes[-1:]:
            process.is_alive = False
        self.world.run_for(wait)

    @rule(seconds=st.sampled_from([1.0, 6.0]), wait=WAIT)
    def outage(self, seconds, wait):
        self.world.outage = True
        self.world.schedule.after(seconds, lambda: setattr(self.world, "outage", False))
        self.world.run_for(wait)

    def teardown(self):
        self.world.run_for(60.0)
        for process in self.processes:
            if process.is_alive:
                self.check_ended(process)

    def check_ended(self, process):
        """Check the end of an attempt whose process was not killed."""
        assert len(process.outcomes) == 1, "not exactly one outcome"
        row = self.world.table.rows.get(process.key)
        if row is None or process.outcomes[0].verdict is not Verdict.NOT_RUN:
            return
        claim = msgspec.msgpack.decode(row.value, type=Claim)
        assert (claim.attempt, claim.state) != (process.name, CLAIMED), (
            "claim not released"
        )


class NotRun(Claims):
    """P5: an attempt reported as not run is never run."""

    def check_event(self):
        ran = {attempt for _, attempt in self.runs}
        for process in self.processes:
            for outcome in process.outcomes:
                if outcome.verdict is Verdict.NOT_RUN:
                    assert process.name not in ran, "ran after all"


class AtMostOnce(Claims):
    """P6: a keyed request runs at most once; retries get its answer."""

    def check_event(self):
        keys = [key for key, _ in self.runs]
        assert len(keys) == len(set(keys)), "ran twice"

    def check_ended(self, process):
        super().check_ended(process)
        outcome = process.outcomes[0]
        if isinstance(outcome, Answered):
            body = getattr(outcome.value, "body", outcome.value)
            key, attempt = next(run for run in self.runs if run[0] == process.key)
            assert body == f"{key.sort} by {attempt}".encode(), (
                "not the answer of the run"
            )


class ClaimAfterDispatch(ClaimMachine):
    """Dispatches before the claim is written."""

    def start(self, now):
        return (Dispatch(self.attempt), *super().start(now))


class DispatchOnReadBack(ClaimMachine):
    """Dispatches when its claim takes effect after a refusal."""

    def _on_closing_read(self, now, version, claim):
        effects = super()._on_closing_read(now, version, claim)
        if claim is not None and claim.attempt == self.attempt:
            return (Dispatch(self.attempt), *effects)
        return effects


class ClaimTakenOver(ClaimMachine):
    """Takes over the claim of another attempt after waiting for it once."""

    def _on_others_claim(self, now, claim):
        if claim.state == CLAIMED and self.has_waited:
            return self._claim(now, self.seen_version)
        self.has_waited = True
        return super()._on_others_claim(now, claim)

    def _on_read(self, now, reply):
        self.has_waited = getattr(self, "has_waited", False)
        self.seen_version = reply.row.version if hasattr(reply, "row") else 0
        return super()._on_read(now, reply)


class ReleasedWhenUnknown(ClaimMachine):
    """Releases the claim of a request that may have run."""

    def _close(self, now, outcome):
        self.closing = msgspec.structs.replace(self.closing, state=RELEASED)
        return super()._close(now, outcome)


@pytest.mark.parametrize("guarantee", [NotRun, AtMostOnce])
def test_guarantee_holds_under_faults(guarantee):
    """Checks P5 and P6 under combinations of the faults."""
    run_state_machine_as_test(guarantee, settings=SETTINGS)


@pytest.mark.parametrize(
    "guarantee, claim_machine, message",
    [
        (NotRun, ClaimAfterDispatch, "ran after all"),
        (NotRun, DispatchOnReadBack, "ran after all"),
        (AtMostOnce, ClaimAfterDispatch, "ran twice"),
        (AtMostOnce, ClaimTakenOver, "ran twice"),
        (AtMostOnce, ReleasedWhenUnknown, "ran twice"),
    ],
)
def test_machine_finds_the_fault(guarantee, claim_machine, message):
    """The state machine detects a deliberately faulty implementation."""
    faulty = type(guarantee.__name__, (guarantee,), {"claim_machine": claim_machine})
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(faulty, settings=FAULT_SETTINGS)
