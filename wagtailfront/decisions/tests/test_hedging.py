"""Tests of hedging."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wagtailfront.decisions.hedging import HedgePlanner, LatenessQuantile
from wagtailfront.decisions.retry_budget import RetryBudget


class Races(RuleBasedStateMachine):
    """Requests whose attempts answer, fail or stay late in any order.

    Guards against non-idempotent requests that run twice, hedges that exceed
    their budget in an outage, and two attempts that both continue.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.retries = RetryBudget()
        self.planner = HedgePlanner(
            retries=self.retries,
            share=0.05,
            lateness=LatenessQuantile(min_samples=10, max_samples=20),
        )
        self.requests = []
        self.running = {}
        self.hedges = 0
        self.repeats = 0

    @rule(count=st.integers(1, 30), idempotent=st.booleans())
    def start(self, count, idempotent):
        for _ in range(count):
            request = (len(self.requests), idempotent)
            self.retries.record_request()
            self.planner.start(
                request, idempotent=idempotent, expected=1.0, now=self.now
            )
            self.requests.append(request)
            self.running[request] = {1}

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def hedge_all(self):
        for request, attempts in self.running.items():
            due = self.planner.hedge_at(request)
            if self.planner.hedge(request, 2, now=self.now):
                assert request[1] and self.now >= due and attempts == {1}
                attempts.add(2)
                self.hedges += 1

    @rule(data=st.data(), count=st.integers(1, 20))
    def answer(self, data, count):
        for request in list(self.running)[:count]:
            attempts = self.running[request]
            winner = data.draw(st.sampled_from(sorted(attempts)))
            losers = self.planner.handle_first_token(request, winner, now=self.now)
            assert set(losers) == attempts - {winner}
            for loser in losers:
                late = self.planner.handle_first_token(request, loser, now=self.now)
                assert late == (loser,)
            assert self.planner.finish(request) == (winner,)
            del self.running[request]

    @rule(count=st.integers(1, 5))
    def retry(self, count):
        self.repeats += sum(self.retries.spend() for _ in range(count))

    @rule(data=st.data())
    def fail(self, data):
        for request in list(self.running)[:1]:
            attempts = self.running[request]
            lost = data.draw(st.sampled_from(sorted(attempts)))
            attempts.discard(lost)
            assert self.planner.failed(request, lost) == bool(attempts)
            if not attempts:
                self.planner.finish(request)
                del self.running[request]

    @invariant()
    def hedges_stay_within_both_budgets(self):
        assert 20 * self.hedges <= len(self.requests)
        assert 10 * (self.hedges + self.repeats) <= len(self.requests)
        assert len(self.planner.races) == len(self.running)


TestRaces = Races.TestCase
