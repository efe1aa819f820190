"""Tests of requests with a prompt part that crashes engines."""

import random

import pytest

from wagtailfront.decisions.crashing_parts import CrashingParts
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.forwarding.refused_parts import RefusedParts
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    LogLines,
    Scene,
    VirtualTimers,
    make_record,
    make_request,
    make_route,
)
from wagtailfront.platform.tests.wire import EVENT_STREAM, HANDLE

ENGINES = [make_record(f"d{number}", stage="decode") for number in range(8)]
SPLIT = [make_record("p0", stage="prefill"), make_record("d0", stage="decode")]
ROUTE = make_route(STREAMING)


def start(scene, number, *shared):
    """Start a request with these shared parts that is like no other."""
    own = PromptPart(f"own-{number}", 100 + number)
    return scene.start(
        ROUTE,
        make_request(body=b"%d" % number),
        prompt_tokens=2000,
        parts=(*(PromptPart(part, 1000) for part in shared), own),
    )


def crash_engines(scene, count, *shared):
    """Let engines crash that run requests with these shared parts."""
    for number in range(count):
        start(scene, number, *shared)
        scene.timers.advance(0.1)
        scene.pool.last.fail("closed by the endpoint")
    scene.timers.advance(1.0)
    scene.context.crashing_parts.update(now=scene.timers.now)


def taint(parts, part, *, now):
    """Record crashes in a row of requests with a part."""
    for number in range(3):
        sent = now - 6.0 + 2 * number
        parts.record_crash((part,), f"e{number}", sent=sent, now=sent + 0.5)


def refuse_part(part):
    """Return evidence by which a part is refused."""
    parts = CrashingParts(source="i")
    taint(parts, part, now=90.0)
    parts.update(now=90.0)
    return parts


def test_requests_with_a_part_that_crashed_three_engines_reach_no_other():
    """Guards engines against requests that share only one part."""
    scene = Scene(ENGINES, is_model=True)
    crash_engines(scene, 3, "sound", "deadly")
    _task, reply = start(scene, 9, "sound", "deadly")
    assert len(scene.pool.exchanges) == 3
    assert reply.status == 503
    assert float(reply.header(b"Retry-After")) > 0


def test_a_sound_request_with_the_same_first_part_is_sent_at_once():
    """Guards requests that share all but the crashing part."""
    scene = Scene(ENGINES, is_model=True)
    crash_engines(scene, 3, "sound", "deadly")
    _task, reply = start(scene, 9, "sound")
    run = scene.pool.last
    run.respond(200, EVENT_STREAM, b"id: 1\ndata: x\n\n")
    assert len(scene.pool.exchanges) == 4
    assert reply.is_complete


def test_a_request_is_not_run_if_its_part_is_refused_during_prefill():
    """Guards the engine that would decode."""
    scene = Scene(SPLIT, is_model=True)
    parts = scene.context.crashing_parts
    _task, reply = scene.start(
        ROUTE,
        prompt_tokens=20_000,
        parts=(PromptPart("deadly", 19_000), PromptPart("own", 1000)),
    )
    taint(parts, "deadly", now=scene.timers.now)
    parts.update(now=scene.timers.now)
    scene.pool.last.respond(200, [], HANDLE)
    assert len(scene.pool.exchanges) == 1
    assert reply.status == 503


@pytest.mark.parametrize("answer", [b"id: 1\ndata: x\n\n", b""])
def test_an_engine_that_crashes_later_in_an_answer_is_no_evidence(answer):
    """Guards parts of streams that had begun when their engine crashed."""
    scene = Scene(ENGINES, is_model=True)
    start(scene, 0, "part")
    run = scene.pool.last
    run.sink.on_head(200, EVENT_STREAM)
    if answer:
        run.sink.on_data(answer)
    run.fail("closed by the endpoint")
    assert scene.context.crashing_parts.count_crashes("part") == (0 if answer else 1)


@pytest.mark.parametrize("answer", [b"id: 1\nda", b""])
def test_a_stream_that_ends_before_its_first_event_is_evidence(answer):
    """Guards engines whose streams have neither a length nor chunks."""
    scene = Scene(ENGINES, is_model=True)
    _task, reply = start(scene, 0, "part")
    run = scene.pool.last
    run.sink.on_head(200, EVENT_STREAM)
    if answer:
        run.sink.on_data(answer)
    run.sink.on_end()
    assert scene.context.crashing_parts.count_crashes("part") == 1
    assert reply.status == 502


class FakePartStore:
    """Store of refused parts that can be down."""

    def __init__(self):
        self.parts = set()
        self.is_up = True

    def read(self, reply):
        reply(sorted(self.parts) if self.is_up else None)

    def record(self, part, reply):
        self._write(self.parts.add, part, reply)

    def remove(self, part, reply):
        self._write(self.parts.discard, part, reply)

    def _write(self, change, part, reply):
        if self.is_up:
            change(part)
        reply(self.is_up)


def start_instance(store, timers):
    """Return the refused parts of a process that has just started."""
    refused_parts = RefusedParts(
        crashing_parts=CrashingParts(source="i"),
        store=store,
        pace=FleetPace(count_peers=lambda: 0, rng=random.Random(1)),
        timers=timers,
        log=LogLines(),
        clock=timers.clock,
    )
    refused_parts._on_started(None)
    return refused_parts


def test_a_part_is_refused_after_all_instances_restart():
    """Guards engines while no instance remembers a crashing part."""
    store, timers = FakePartStore(), VirtualTimers()
    first = start_instance(store, timers)
    taint(first.crashing_parts, "deadly", now=timers.now)
    store.is_up = False
    first._on_check_parts()
    restarted = start_instance(store, timers)
    store.is_up = True
    timers.advance(2.5)
    assert store.parts == {"deadly"}
    later = start_instance(store, timers)
    for instance in (later, restarted):
        assert instance.crashing_parts.find_refused(("deadly",), now=timers.now)


def test_a_part_that_is_allowed_again_is_removed_from_the_store():
    """Guards against refusing a sound part after each restart."""
    store, timers = FakePartStore(), VirtualTimers()
    first = start_instance(store, timers)
    taint(first.crashing_parts, "part", now=timers.now)
    first._on_check_parts()
    assert store.parts == {"part"}
    first.crashing_parts.record_answer(("part",), now=timers.now + 0.1)
    first._on_check_parts()
    assert store.parts == set()


def test_the_last_part_of_a_prompt_is_no_evidence():
    """Guards a request's own part, which no other request has."""
    scene = Scene(ENGINES, is_model=True, crashing_parts=refuse_part("own-1"))
    start(scene, 1, "sound")
    assert len(scene.pool.exchanges) == 1


def test_what_a_restored_store_has_lost_is_written_again():
    """Guards engines, and callers of parts that had been allowed again."""
    store, timers = FakePartStore(), VirtualTimers()
    instances = [start_instance(store, timers) for _ in range(3)]
    for instance in instances:
        taint(instance.crashing_parts, "deadly", now=timers.now)
        instance._on_check_parts()
    store.parts = {"harmless"}
    for instance in instances:
        instance.allowed["harmless"] = True
        instance.handle_new_era(2)
    timers.advance(3.0)
    assert store.parts == {"deadly"}
    for instance in instances:
        parts = instance.crashing_parts
        assert parts.find_refused(("harmless",), now=timers.now) is None
        assert parts.find_refused(("deadly",), now=timers.now)
