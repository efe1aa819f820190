"""Tests of the detection of silent connections."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wagtailfront.decisions.silence import EndpointSilence, State

NAMES = st.sampled_from("abc")
GAPS = st.sampled_from([0.05, 0.2, 2.0])


class Connections(RuleBasedStateMachine):
    """Three connections to one endpoint that stall and resume at any time.

    Guards against moving traffic off a connection that still makes progress
    or whose endpoint is down, against a silent connection that keeps its
    traffic, and against concurrent probes. A connection must get time for
    progress after the answer to a probe, and is silent right after it.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.endpoint = EndpointSilence()
        self.last = {}
        self.due = {}  # of those that were suspect when a probe was answered
        self.moved = set()
        self.probe = None

    @rule(name=NAMES, gap=GAPS)
    def open(self, name, gap):
        self.endpoint.open(name, gap=gap, now=self.now)
        self.last[name] = (self.now, gap)
        self.due.pop(name, None)
        self.moved.discard(name)

    @rule(name=NAMES)
    def close(self, name):
        self.endpoint.close(name)
        self.last.pop(name, None)
        self.due.pop(name, None)
        self.moved.discard(name)

    @rule(name=NAMES, gap=GAPS)
    def progress(self, name, gap):
        counts = self.endpoint.record_progress(name, gap=gap, now=self.now)
        assert counts == (name in self.last and name not in self.moved)
        if counts:
            self.last[name] = (self.now, gap)
            self.due.pop(name, None)

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.5, 12.0]))
    def wait_and_poll(self, seconds):
        self.now += seconds
        if self.probe is not None and self.now - self.probe >= 1.0:
            self.probe = None
        self.check_moved(self.endpoint.take_silent(now=self.now))
        must_probe = self.probe is None and bool(self.suspects())
        assert self.endpoint.poll(now=self.now) == must_probe
        if must_probe:
            self.probe = self.now

    @precondition(lambda self: self.probe is not None)
    @rule()
    def probe_fails(self):
        self.endpoint.probe_failed(now=self.now)
        self.probe = None

    @rule()
    def probe_answers(self):
        answered = self.suspects() if self.probe is not None else ()
        self.check_moved(self.endpoint.probe_answered(now=self.now))
        for name in answered:
            self.due[name] = self.now + max(self.last[name][1], 0.5)
        self.probe = None

    def suspects(self):
        return [
            name
            for name, (last, gap) in self.last.items()
            if self.now > last + max(6 * gap, 0.5)
            and name not in self.moved
            and name not in self.due
        ]

    def check_moved(self, silent):
        assert set(silent) == {n for n, due in self.due.items() if self.now > due}
        for name in silent:
            last, gap = self.last[name]
            assert self.now > last + max(5 * gap, 0.5)
            del self.due[name]
        self.moved |= set(silent)

    @invariant()
    def states_match_what_moved(self):
        states = {n: watch.state for n, watch in self.endpoint.connections.items()}
        assert {n for n, s in states.items() if s is State.SILENT} == self.moved
        assert self.probe is not None or State.PROBING not in states.values()


TestConnections = Connections.TestCase


def test_engine_that_pauses_and_goes_on_keeps_its_connections():
    """Guards a sound engine: the answer to a probe may come first."""
    engine = EndpointSilence()
    engine.open("c1", gap=0.1, now=0.0)
    assert engine.poll(now=0.7)
    # The whole engine is silent until 1.3 s; c1's next token is due at 1.35 s.
    assert engine.probe_answered(now=1.3) == ()
    assert engine.record_progress("c1", gap=0.1, now=1.35)
