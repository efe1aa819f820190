"""Targets, engines and faults for the tests of this folder."""

from typing import NamedTuple

from hypothesis import settings, strategies as st

from wagtailfront.authority.order_rows import EngineState, Target
from wagtailfront.stores.memory import (
    OUTAGE,
    duplicated,
    late_write,
    lost_answer,
    lost_request,
    slow,
)

# Settings of the runs that must find a deliberate fault, without shrinking it.
FAULT_SETTINGS = settings(
    max_examples=300,
    stateful_step_count=40,
    phases=["generate"],
    report_multiple_bugs=False,
)

# Seconds to run after a fault; with 0 the next fault coincides with it.
WAIT = st.sampled_from([0.0, 0.3, 1.0, 4.0, 11.0])

STORE_FAULTS = st.lists(
    st.sampled_from(
        [
            lost_answer(),
            lost_request(),
            late_write(apply_after=2.0),
            late_write(apply_after=6.0),
            slow(1.0),
            slow(5.0),
            duplicated(),
            duplicated(seconds=1.0),
            OUTAGE,
        ]
    ),
    min_size=1,
    max_size=3,
)


class Transmission(NamedTuple):
    """Delay, loss or duplication of a message from a process to an engine."""

    delay: float = 0.01
    duplicate_delay: float | None = None  # seconds until a second copy arrives
    delivered: bool = True
    answered: bool = True


TRANSMISSIONS = st.lists(
    st.sampled_from(
        [
            Transmission(delay=2.9),
            Transmission(duplicate_delay=2.5),
            Transmission(delivered=False, answered=False),
            Transmission(answered=False),
            Transmission(delay=1.0, duplicate_delay=2.9, answered=False),
        ]
    ),
    min_size=1,
    max_size=3,
)


def build_target(number):
    """Return the target with version `number` of the only model."""
    return Target("oat-7b", f"v{number}")


class FakeEngine:
    """Engine that loads a target in `load_seconds`.

    With `checks_fencing` it rejects orders with old numbers.
    """

    load_seconds = 2.0

    def __init__(self, *, name, checks_fencing, schedule):
        self.name = name
        self.checks_fencing = checks_fencing
        self.schedule = schedule
        self.target = build_target(0)
        self.loading = None
        self.number = 0
        self.running = 0
        self.incarnation = 0
        self.crashes = 0

    def receive(self, order):
        """Handle an order; False if it is rejected as old."""
        if self.checks_fencing and order.number < self.number:
            return False
        self.number = order.number
        if self.changes_with(order):
            self.loading, self.target, self.running = order.target, None, 0
            self.incarnation += 1
            incarnation = self.incarnation
            self.schedule.after(self.load_seconds, lambda: self._loaded(incarnation))
        return True

    def changes_with(self, order):
        """Whether `order` differs from what the engine has or loads."""
        return order.target != (self.loading or self.target)

    def _loaded(self, incarnation):
        if incarnation == self.incarnation:
            self.target, self.loading = self.loading, None

    def crash(self):
        """Lose the model, the requests and the last order number."""
        self.target = self.loading = None
        self.number = self.running = 0
        self.incarnation += 1
        self.crashes += 1

    def state(self):
        """Return the engine's report."""
        return EngineState(self.target, self.running, 0)

    def run_request(self, seconds):
        """Run one request for `seconds` unless a crash ends it."""
        if self.target is None:
            return
        self.running += 1
        incarnation = self.incarnation
        self.schedule.after(seconds, lambda: self._end_request(incarnation))

    def _end_request(self, incarnation):
        if incarnation == self.incarnation:
            self.running -= 1
