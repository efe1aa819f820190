"""Stateful test of the graceful shutdown, which aborts no request."""

import json
from types import SimpleNamespace

import pytest
from circuits import handler
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from wagtailfront.callers.completion_request import parse_completion
from wagtailfront.callers.tests.builders import make_configuration
from wagtailfront.callers.tests.fakes import (
    FakeCaller,
    VirtualInstance,
    engine_chunk,
    make_engines,
)
from wagtailfront.programs.shutdown import Shutdown
from wagtailfront.transport.sse import DONE, format_event
from wagtailfront.transport.ticker import Ticker

PATH = "/v1/completions"
MAX_TOKENS = 4
GRACE, TIMEOUT = 1.0, 60.0


class Claims:
    """Claims whose outcomes are recorded when the test decides."""

    unrecorded = 0

    def is_idle(self):
        return self.unrecorded == 0


class NoDrainShutdown(Shutdown):
    """Injected fault: exits without waiting for open requests."""

    @handler("stop_listening", override=True)
    def _on_stop_listening(self):
        self._on_drained()


class ShutdownMachine(RuleBasedStateMachine):
    """Requests and unrecorded outcomes around a SIGTERM."""

    shutdown_class = Shutdown

    def __init__(self):
        super().__init__()
        self.instance = VirtualInstance(make_configuration(make_engines(2), []))
        self.claims = self.instance.dispatcher.claims = Claims()
        self.health = SimpleNamespace(leaving=False)
        self.listening = True
        server = SimpleNamespace(stop_listening=self.stop_listening)
        self.shutdown = self.shutdown_class(
            health=self.health,
            get_components=lambda: (
                self.instance.dispatcher,
                SimpleNamespace(server=server),
            ),
            grace=GRACE,
            timeout=TIMEOUT,
            clock=self.instance.clock,
        ).register(self.instance.root)
        self.exit_codes = []
        self.instance.root.stop = self.exit_codes.append
        self.callers = []
        self.instance.settle()

    def stop_listening(self):
        self.listening = False

    @precondition(lambda self: self.listening and not self.exit_codes)
    @rule(tokens=st.integers(1, 3))
    def submit(self, tokens):
        prompt = f"request {len(self.callers)} tokens={tokens} "
        body = {"model": "recipe-large", "prompt": prompt, "max_tokens": MAX_TOKENS}
        request = parse_completion(json.dumps(body).encode(), {}, chat=False)
        caller = FakeCaller(prompt.encode(), MAX_TOKENS)
        self.callers.append(caller)
        self.instance.dispatcher.submit_completion(request=request, reply=caller)

    def streams(self):
        return self.instance.pool.open(PATH)

    @precondition(lambda self: self.streams() and not self.exit_codes)
    @rule(pick=st.integers(0, 5))
    def answer(self, pick):
        """Send the complete answer of one of the engine streams."""
        exchange = self.streams()[pick % len(self.streams())]
        exchange.sink.on_head(200, {})
        finish = None
        while finish is None:
            chunk, finish = engine_chunk(exchange, exchange.position, MAX_TOKENS)
            exchange.position += 1
            exchange.sink.on_data(format_event(json.dumps(chunk).encode()))
        exchange.sink.on_data(format_event(DONE))
        exchange.end()

    @precondition(lambda self: self.listening)
    @rule()
    def leave_outcome_unrecorded(self):
        self.claims.unrecorded += 1

    @precondition(lambda self: self.claims.unrecorded)
    @rule()
    def record_outcome(self):
        self.claims.unrecorded -= 1

    @precondition(lambda self: not self.health.leaving)
    @rule()
    def signal(self):
        event = SimpleNamespace(stop=lambda: None)
        self.shutdown._on_signal(event, 15, None)
        self.instance.settle()

    @precondition(lambda self: self.instance.now < TIMEOUT / 2)
    @rule(seconds=st.sampled_from([0.2, 0.6, 1.2]))
    def wait(self, seconds):
        """Advance the clock and fire the alarms that are due."""
        self.instance.advance(seconds)
        event = SimpleNamespace(reduce_time_left=lambda left: None)
        for part in list(self.shutdown.components):
            if isinstance(part, Ticker):
                part._on_generate_events(event)
        self.instance.settle()

    @invariant()
    def exit_aborts_nothing(self):
        if not self.exit_codes:
            return
        assert set(self.exit_codes) == {0}
        assert not self.listening
        assert self.claims.unrecorded == 0
        for caller in self.callers:
            assert caller.status == 200
            text = json.loads(caller.body)["choices"][0]["text"]
            assert text == caller.expected


def test_graceful_shutdown_aborts_no_request():
    """Guards against an exit with open requests or unrecorded outcomes."""
    run_state_machine_as_test(
        ShutdownMachine, settings=settings(max_examples=200, stateful_step_count=30)
    )


def test_machine_finds_the_fault():
    """Guards against a state machine that cannot detect a skipped drain."""
    machine = type("Faulty", (ShutdownMachine,), {"shutdown_class": NoDrainShutdown})
    limits = settings(
        max_examples=300,
        stateful_step_count=30,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=limits)
