"""Tests that the log explains which endpoints a request was not sent to."""

import pytest

from wagtailfront.forwarding.tests.builders import Scene, make_record, make_route
from wagtailfront.observe.decision_log import DecisionLog
from wagtailfront.observe.request_timeline import format_timeline, read_timeline
from wagtailfront.platform.tests.wire import (
    LEAVING,
    NOT_RUN,
    SIGNED,
    retry_after_header,
)

PAUSE = retry_after_header(9.0)


def record_lines(records):
    """Return a scene whose log is written as by an instance, and the lines."""
    lines = []
    scene = Scene(records)
    log = DecisionLog(
        instance="i1",
        write=lambda line: lines.append(line.decode()),
        clock=scene.timers.clock,
        wall_clock=scene.timers.clock,
    )
    scene.context.notices.log = log
    scene.context = scene.context._replace(log=log)
    return scene, lines


CASES = {
    "leaving": (200, [*SIGNED, LEAVING], LEAVING, "all endpoints leave"),
    "pause": (503, [*NOT_RUN, PAUSE], PAUSE, "all endpoints ask for a pause"),
}


@pytest.mark.parametrize("notice", CASES)
@pytest.mark.parametrize("others", [0, 1])
def test_a_requests_id_leads_to_the_answer_that_kept_it_from_an_endpoint(
    notice, others
):
    """Guards operators against a refusal or a choice without a cause."""
    status, headers, header, reason = CASES[notice]
    scene, lines = record_lines([make_record("e1")])
    scene.start(make_route(), request_id="r1")
    scene.pool.last.sink.task.sends = 4
    scene.pool.last.respond(status, headers)
    records = [make_record(f"e{number}") for number in range(1, 2 + others)]
    scene.directory.replace(records, now=101.0)
    scene.timers.advance(0.5)
    scene.start(make_route(), request_id="r2")
    timeline = read_timeline(lines, "r2")
    by_kind = {entry.kind: entry for entry in timeline}
    told = by_kind[f"endpoint_notice_{notice}"]
    assert (told.outcome, told.inputs["request"]) == ("e1", "r1")
    assert told.inputs["headers"] == [": ".join(each.decode() for each in header)]
    assert "e1" in str(by_kind["left_out"].inputs)
    assert ("refused" in by_kind) == (not others)
    assert others or by_kind["refused"].outcome == reason
    assert header[0].decode() in format_timeline(timeline)
    assert [entry.kind for entry in read_timeline(lines, "r1")].count(told.kind) == 1


def test_an_odd_endpoint_writes_one_line_for_each_header():
    """Guards the log against an endpoint that says it in every answer."""
    scene, lines = record_lines([make_record("e1")])
    headers = [(LEAVING[0], b"maybe"), (PAUSE[0], b"soon")]
    for _ in range(50):
        scene.start(make_route())
        scene.pool.last.respond(200, [*SIGNED, *headers], b"ok")
    told = [line for line in lines if "endpoint_notice" in line]
    assert len(told) == 1
    assert "e1" in told[0]
    assert "maybe" in told[0]
    assert "soon" in told[0]
