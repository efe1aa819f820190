"""Processor time of one routing decision in a large fleet."""

import functools
import gc
import random
import statistics
import sys
import time

from wagtailfront.bench.setup import INSTANCES
from wagtailfront.bench.workload import MIXES, Workload
from wagtailfront.decisions.policy import ExpectedFinish
from wagtailfront.decisions.routing import LeastOutstanding, RoundRobin
from wagtailfront.decisions.subsetting import Candidates
from wagtailfront.decisions.work import LoadReport, Role

__all__ = ["FLEET_SIZE", "MAX_LINES", "lines_per_decision", "decision_cost"]

FLEET_SIZE = 1_100
SMALL_FLEET_SIZE = 275
WARM_UP_DECISIONS = 100
BATCHES = 3
DECISIONS = 100
# A CPython line takes at most about 0.15 microseconds on a quiet core, so this
# many lines fit into the target of 200 microseconds.
MAX_LINES = 1_333
# Requests of one instance at 765 tokens/s and 78 ms per token.
REQUESTS_IN_PROGRESS = 60


class _LoadedInstance:
    """One instance's policy under a steady stream of decisions."""

    def __init__(self, policy, seed, size):
        names = [f"engine-{number}" for number in range(size)]
        self.policy = _make_policy(policy, seed, names)
        self.workload = Workload(seed=seed, instances=INSTANCES)
        self.in_progress = []
        self.now = 10.0
        for name in names:
            report = LoadReport(self.now - 5.0, 8, 1, 900, Role.MIXED, True)
            self.policy.handle_load_report(name, report, now=self.now)
        for _ in range(WARM_UP_DECISIONS):
            self.decide()

    def draw(self):
        """Return the next request.

        At the limit of requests in progress, the oldest one finishes first.
        """
        self.now += 0.3
        if len(self.in_progress) >= REQUESTS_IN_PROGRESS:
            self.policy.finished(self.in_progress.pop(0), 40, now=self.now)
        self.policy.tick(now=self.now)
        return self.workload.draw(MIXES["day"], at=self.now).work

    def place(self, work):
        """Place a request: the part of a decision that is measured."""
        return self.policy.place(work, now=self.now)

    def decide(self):
        """Place the next request and report its first token.

        Returns the processor time of the decision in seconds.
        """
        work = self.draw()
        begin = time.process_time()
        self.place(work)
        seconds = time.process_time() - begin
        self.policy.handle_first_token(work.request_id, now=self.now + 0.2)
        self.in_progress.append(work.request_id)
        return seconds


def _make_policy(policy, seed, names):
    rng = random.Random(seed)
    if policy == "least-outstanding":
        return LeastOutstanding(engines=names, rng=rng)
    if policy == "round-robin":
        return RoundRobin(engines=names, rng=rng)
    candidates = Candidates(names, key=f"instance {seed}", rng=rng)
    return ExpectedFinish(
        engines=names, instances=INSTANCES, rng=rng, candidates=candidates
    )


@functools.cache
def lines_per_decision(policy, seed, size):
    """Return the median number of Python lines that a decision runs.

    Unlike a time, the count is the same on every machine and in every run.
    """
    instance = _LoadedInstance(policy, seed, size)
    counts = []
    for _ in range(50):
        work = instance.draw()
        counts.append(_count_lines(instance.place, work))
        instance.policy.handle_first_token(work.request_id, now=instance.now + 0.2)
        instance.in_progress.append(work.request_id)
    return statistics.median(counts)


def _count_lines(function, argument):
    count = 0

    def trace(frame, event, value):
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function(argument)
    finally:
        sys.settrace(before)
    return count


def decision_cost(policy, seed, options):
    """Median processor time of a decision, and growth with the fleet."""
    instance = _LoadedInstance(policy, seed, FLEET_SIZE)
    gc.collect()
    # Other processes on the core can only lengthen a batch, so the shortest
    # is nearest to the cost.
    seconds = min(
        statistics.median(instance.decide() for _ in range(DECISIONS))
        for _ in range(BATCHES)
    )
    few = lines_per_decision(policy, seed, SMALL_FLEET_SIZE)
    many = lines_per_decision(policy, seed, FLEET_SIZE)
    return {
        "microseconds": seconds * 1e6,
        "lines": many,
        # Below 1 the lines grow less than linearly with the fleet.
        "relative_growth": (many / few) / (FLEET_SIZE / SMALL_FLEET_SIZE),
    }
