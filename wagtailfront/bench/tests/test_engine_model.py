"""Tests of the engine model."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wagtailfront.bench.engine_model import EngineCosts, EngineModel
from wagtailfront.bench.tests.builders import jobs
from wagtailfront.decisions.work import Role


class EngineMachine(RuleBasedStateMachine):
    """Guards against jobs that end twice or never and against wrong counts."""

    def __init__(self):
        super().__init__()
        self.engine = EngineModel(
            name="e",
            costs=EngineCosts(max_running=3, cache_pieces=5),
            crash_fingerprints=frozenset(["bad"]),
        )
        self.now = 0.0
        self.submitted = 0
        self.ended = Counter()

    @rule(job=jobs())
    def submit(self, job):
        job.request_id = f"r{self.submitted}"
        if self.engine.submit(job, self.now):
            self.submitted += 1

    @rule(number=st.integers(0, 20))
    def cancel(self, number):
        if f"r{number}" in self.engine.jobs:
            self.engine.cancel(f"r{number}")
            self.ended[f"r{number}"] += 1

    @rule(role=st.sampled_from(Role))
    def change_role(self, role):
        for job in self.engine.change_role(role, self.now, 5.0):
            self.ended[job.request_id] += 1

    @rule(steps=st.integers(1, 40))
    def run_steps(self, steps):
        for _ in range(steps):
            seconds = self.engine.begin_step(self.now)
            if seconds is None:
                break
            self.now += seconds
            for event in self.engine.end_step(self.now):
                self.ended[event.job.request_id] += event.kind != "first_token"

    @rule(seconds=st.floats(0, 30))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def each_job_ends_at_most_once(self):
        assert all(count == 1 for count in self.ended.values() if count)
        assert self.submitted == self.ended.total() + len(self.engine.jobs)

    @invariant()
    def counts_match_the_jobs(self):
        jobs = self.engine.jobs.values()
        assert self.engine.queued_prefill == sum(job.prefill_left for job in jobs)
        assert self.engine.started == sum(job.started for job in jobs)
        assert self.engine.decoding == sum(job.first_token_step >= 0 for job in jobs)
        assert len(self.engine.cache) <= self.engine.costs.cache_pieces

    def teardown(self):
        for _ in range(5_000):
            seconds = self.engine.begin_step(self.now)
            if seconds is None:
                break
            self.now += seconds
            self.engine.end_step(self.now)
        assert not self.engine.jobs


TestEngine = EngineMachine.TestCase
