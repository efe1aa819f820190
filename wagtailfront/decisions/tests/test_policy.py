"""Tests of one instance's policy under any order of events."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wagtailfront.decisions.policy import ExpectedFinish
from wagtailfront.decisions.routing import reserve_order
from wagtailfront.decisions.tests.builders import ENGINES, build_work, policy, works
from wagtailfront.decisions.work import LoadReport, Role
from wagtailfront.outcome import Refused, Verdict

NUMBERS = st.integers(0, 30)


class PolicyMachine(RuleBasedStateMachine):
    """Guards against wrong counts of own load and forbidden placements."""

    def __init__(self):
        super().__init__()
        self.policy = policy()
        self.now = 0.0
        self.running = {}
        self.sent = 0

    @rule(work=works(), excluded=st.sets(st.sampled_from(ENGINES), max_size=6))
    def place(self, work, excluded):
        work = work._replace(
            request_id=f"r{self.sent}", deadline=self.now + work.deadline
        )
        self.sent += 1
        self._place(work, excluded, attempt=1)

    @rule(number=NUMBERS)
    def lose_and_retry(self, number):
        entry = self.running.pop(f"r{number}", None)
        if entry is not None:
            work, engine = entry
            self.policy.failed(work.request_id, now=self.now)
            self._place(work, {engine}, attempt=2)

    def _place(self, work, excluded, attempt):
        ejected = set(self.policy.detector.ejected)
        placed = self.policy.place(
            work, now=self.now, exclude=excluded, attempt=attempt
        )
        if isinstance(placed, Refused):
            assert placed.verdict is Verdict.NOT_RUN
            assert placed.retry_after > 0
            assert attempt == 1 or placed.code == "no_engine"
            return
        assert 0 <= placed.priority <= 9
        if placed.is_probe:
            assert placed.engine in ejected
        else:
            assert placed.engine not in ejected | excluded
            assert self.policy.fleet.views[placed.engine].available
        self.running[work.request_id] = (work, placed.engine)

    @rule(number=NUMBERS, tokens=st.integers(0, 2_000))
    def progress(self, number, tokens):
        self.policy.handle_first_token(f"r{number}", now=self.now)
        self.policy.record_progress(f"r{number}", tokens, now=self.now)

    @rule(number=NUMBERS, tokens=st.integers(1, 2_000))
    def finish(self, number, tokens):
        self.policy.finished(f"r{number}", tokens, now=self.now)
        self.running.pop(f"r{number}", None)

    @rule(engine=st.sampled_from(ENGINES), lag=st.floats(0, 9), load=NUMBERS)
    def report(self, engine, lag, load):
        role = Role.DECODE if load == 30 else Role.MIXED
        report = LoadReport(self.now - lag, load, load, 900 * load, role, load != 29)
        self.policy.handle_load_report(engine, report, now=self.now)

    @rule(engine=st.sampled_from(ENGINES), peer=st.sampled_from("xy"))
    def hint(self, engine, peer):
        self.policy.handle_slow_hint(engine, peer, now=self.now)

    @rule(seconds=st.floats(0.01, 3))
    def tick(self, seconds):
        self.now += seconds
        moves = self.policy.tick(now=self.now).moves
        assert set(moves) <= set(self.running)

    @invariant()
    def own_load_matches_what_runs(self):
        views = self.policy.fleet.views
        assert set(self.policy.fleet.sent) == set(self.running)
        for name, view in views.items():
            here = {key for key, (_, engine) in self.running.items() if engine == name}
            assert set(view.own) == here
            assert abs(sum(view.own_prefill)) < 1e-6 or here
            assert view.peers_requests >= 0 and view.peers_prefill >= 0

    @invariant()
    def half_of_the_group_stays(self):
        assert len(self.policy.detector.ejected) <= len(ENGINES) // 2

    @invariant()
    def one_probe_per_ejected_engine(self):
        probes = [s.engine for s in self.policy.fleet.sent.values() if s.is_probe]
        assert len(probes) == len(set(probes))


TestPolicy = PolicyMachine.TestCase


def test_long_work_leaves_reserved_engines():
    """Guards against long prompts on engines reserved for short work."""
    instance = policy()
    for number in range(200):
        work = build_work(f"s{number}", prompt_tokens=300)
        instance.place(work, now=0.02 * number)
    instance.tick(now=4.0)
    assert instance.reserve.reserved == tuple(
        reserve_order(ENGINES)[: len(instance.reserve.reserved)]
    )
    assert instance.reserve.reserved
    placed = instance.place(build_work("long", prompt_tokens=30_000), now=4.0)
    assert placed.engine not in instance.reserve.reserved


def test_retried_work_ages():
    """Guards against requests that starve after a move or a lost attempt."""
    work = build_work(arrived=0.0, priority=6)
    first = policy().place(work, now=0.0)
    later = policy().place(work, now=11.0, attempt=2)
    assert later.priority == first.priority - 2


def policy_without_engine_a():
    """Return a policy that ejected engine a at time 0 after peers' hints."""
    instance = policy()
    for peer in "xy":
        instance.handle_slow_hint("a", peer, now=0.0)
    instance.tick(now=0.0)
    return instance


def test_ejected_engine_gets_no_work_before_its_probe():
    """Guards against new requests on an ejected engine."""
    instance = policy_without_engine_a()
    placed = {instance.place(build_work(f"r{n}"), now=1.0).engine for n in range(60)}
    assert placed == set(ENGINES) - {"a"}


def test_failed_probe_never_counts_as_good():
    """Guards against a slow probe that counts as good when it completes."""
    instance = policy_without_engine_a()
    assert instance.place(build_work(), now=3.0).is_probe
    assert instance.tick(now=5.0).moves == ("r",)
    instance.finished("r", 40, now=5.1)
    state = instance.detector.engines["a"]
    assert (state.good_probes, state.probe) == (0, "")
    assert state.next_probe >= 9.0


def test_requests_stay_counted_when_engines_change():
    """Guards against requests that stay counted for ever or are dropped."""
    old = policy()
    work = build_work()
    engine = old.place(work, now=0.0).engine
    new = ExpectedFinish(
        engines=[engine, "new-engine"], instances=1, rng=random.Random(1)
    )
    new.inherit_state(old)
    assert new.fleet.views[engine].own
    new.finished(work.request_id, 10, now=1.0)
    assert not new.fleet.views[engine].own
    assert not new.fleet.sent
