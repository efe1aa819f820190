"""Any series of answers and registry reads against the rules on notices."""

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.tests.builders import (
    SAFE,
    STREAMING,
    UNSAFE,
    FakePool,
    Scene,
    make_record,
    make_request,
    make_route,
)
from wagtailfront.platform.tests.wire import (
    EVENT_STREAM,
    HANDLE,
    LEAVING,
    NOT_RUN,
    NOT_RUN_UNNAMED,
    REQUEST_ID,
    SIGNED,
    retry_after_header,
)

EVENT = b"id: %d\ndata: x\n\n"
PLAIN = [make_record(f"e{number}") for number in range(3)]
ENGINES = [
    *(make_record(f"p{number}", stage="prefill") for number in range(2)),
    *(make_record(f"d{number}", stage="decode") for number in range(3)),
]
ROUTES = [
    make_route(kind, target_latency=target, timeout=8.0, is_resumable=True)
    for kind in (SAFE, UNSAFE, STREAMING)
    for target in (0.4, 3.0)
]
ANSWERS = ["ok", "error", "missing", "refusal", "full", "head", "event", "unnamed"]
STEPS = st.one_of(
    st.tuples(st.just("start"), st.sampled_from(ROUTES), st.sampled_from([50, 20_000])),
    st.tuples(st.just("advance"), st.sampled_from([0.01, 0.1, 0.5, 1.5]), st.none()),
    st.tuples(
        st.just("answer"),
        st.integers(0, 5),
        st.tuples(
            st.sampled_from([*ANSWERS, "cut"]),
            st.sampled_from(["", "", "leaves", "pauses", "pauses"]),
            st.sampled_from([0.2, 1.0, 4.0]),
        ),
    ),
    st.tuples(
        st.just("registry"), st.sampled_from(["ready", "older", "gone"]), st.none()
    ),
)


class CheckedPool(FakePool):
    """Checks each request that is sent against what its endpoint has said."""

    def __init__(self):
        super().__init__()
        self.timers = None
        self.leaving = set()
        self.paused_until = {}

    def send(self, record, payload, *, sink, avoid=(), body=b""):
        assert record.incarnation not in self.leaving
        paused_until = self.paused_until.get(record.incarnation, 0.0)
        assert self.timers.now >= paused_until - 1e-6
        return super().send(record, payload, sink=sink, avoid=avoid, body=body)

    def answer(self, exchange, outcome, notice, seconds):
        """Answer a request; record first what the endpoint says with it."""
        incarnation = exchange.record.incarnation
        if exchange.sink.status:
            # Its head has arrived, so nothing more is said with this answer.
            outcome = "event" if outcome == "event" else "cut"
            notice = ""
        if outcome == "cut":
            exchange.fail()
            return
        status = {"error": 500, "missing": 404, "refusal": 503, "full": 429}
        status = {**status, "unnamed": 503}.get(outcome, 200)
        said = {"leaves": [LEAVING], "pauses": [retry_after_header(seconds)]}
        said = said.get(notice, [])
        if outcome == "unnamed":
            # A copy of an answer to an earlier request.
            exchange.is_first = False
            exchange.respond(status, NOT_RUN_UNNAMED + said)
            return
        if notice == "leaves":
            self.leaving.add(incarnation)
        elif notice == "pauses" and status in (429, 503):
            until = max(
                self.paused_until.get(incarnation, 0.0), self.timers.now + seconds
            )
            self.paused_until[incarnation] = until
        self._send_answer(exchange, outcome, status, said)

    def _send_answer(self, exchange, outcome, status, said):
        if status in (429, 503):
            exchange.respond(status, named(NOT_RUN, exchange) + said)
        elif status != 200 or outcome == "ok":
            body = HANDLE if exchange.sink.is_prefill else b"ok"
            exchange.respond(status, named(SIGNED, exchange) + said, body)
        else:
            if not exchange.sink.status:
                exchange.sink.on_head(200, named(EVENT_STREAM, exchange) + said)
            if outcome == "event" and not exchange.sink.is_prefill:
                last = exchange.sink.task.stream.last_event_id or 0
                exchange.sink.on_data(EVENT % (last + 1))


def named(headers, exchange):
    """Return headers that name the request of an exchange."""
    request_id = exchange.sink.task.fields.request_id.encode()
    return [
        (name, request_id if name == REQUEST_ID else value) for name, value in headers
    ]


def change_registry(scene, records, how):
    """Apply a read of a registry that says nothing of the notices."""
    now, era = scene.timers.now, max(1, scene.directory.era)
    if how == "gone":
        for record in scene.directory.replace([], now=now, era=era).gone:
            scene.context.notices.forget(record)
    era += how == "older"
    scene.directory.replace(records, now=now, era=era)


@pytest.mark.parametrize("is_model", [False, True])
@settings(max_examples=150, deadline=None)
@given(steps=st.lists(STEPS, max_size=40))
def test_no_request_reaches_an_endpoint_that_leaves_or_pauses(is_model, steps):
    """Guards every way by which a request comes to an endpoint."""
    records = ENGINES if is_model else PLAIN
    pool = CheckedPool()
    scene = Scene(records, is_model=is_model, slack=100, pool=pool)
    pool.timers = scene.timers
    replies = []
    for step, first, second in steps:
        if step == "start":
            name = f"r{len(replies)}"
            request = make_request(target=b"/" + name.encode())
            _task, reply = scene.start(first, request, name, prompt_tokens=second)
            replies.append(reply)
        elif step == "advance":
            scene.timers.advance(first)
        elif step == "registry":
            change_registry(scene, records, first)
        elif waiting := [e for e in pool.exchanges if is_in_progress(e)]:
            pool.answer(waiting[first % len(waiting)], *second)
    scene.timers.advance(20.0)
    assert len(scene.done) == len(replies)


def is_in_progress(exchange):
    """Return whether an exchange can still be answered."""
    task = exchange.sink.task
    return not exchange.is_cancelled and task.attempt is exchange.sink
