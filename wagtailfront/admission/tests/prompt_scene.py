"""Builders of requests to an engine with a queue, for tests of admission."""

from typing import NamedTuple

from wagtailfront.admission.recent_ratio import RecentRatio
from wagtailfront.forwarding.placement import (
    DECODE_ENGINE_PREFILL_RATE,
)
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM

__all__ = [
    "Answer",
    "ask",
    "complete",
    "forget_prefills",
    "make_scene",
    "set_queue",
]


ENGINE = make_record("e1", stage="decode")


class Answer(NamedTuple):
    """What became of a request at once, and after which time to return."""

    is_sent: bool
    retry_after: str | None


def make_scene():
    """Return a scene with one engine of nominal speed."""
    scene = Scene([ENGINE], is_model=True)
    forget_prefills(scene)
    return scene


def forget_prefills(scene):
    """Let the engine have nominal speed, whatever was observed."""
    health, now = scene.context.health, scene.timers.now
    health.typical.clear()
    health.state(ENGINE.incarnation).prefills = RecentRatio(half_life=1.0)
    health.record_prefill_time(ENGINE, expected=1.0, took=1.0, now=now)


def set_queue(scene, seconds, *, priority=0):
    """Let the engine have a queue of some seconds of prompts of a priority."""
    tokens = round(seconds * DECODE_ENGINE_PREFILL_RATE)
    scene.context.health.state("e1/1").pending[priority] = tokens


def ask(scene, *, time_left, prompt_tokens=1, output_tokens=0, **route):
    """Send a request; return its task and Answer."""
    before = len(scene.pool.exchanges)
    task, reply = scene.start(
        make_route(STREAMING, **{"timeout": 60.0, **route}),
        time_left=time_left,
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
    )
    is_sent = len(scene.pool.exchanges) > before
    return task, Answer(is_sent, reply.header(b"Retry-After"))


def complete(scene, *, first_event, output):
    """Let the latest request show an event after a while, and then its end."""
    sink = scene.pool.last.sink
    scene.timers.advance(first_event)
    sink.on_head(200, EVENT_STREAM)
    sink.on_data(b"id: 1\ndata: x\n\n")
    scene.timers.advance(output)
    sink.on_end()
