"""Tests of the order in which engines serve requests."""

from hypothesis import given, strategies as st

from wagtailfront.admission.tests.prompt_scene import ask, make_scene, set_queue
from wagtailfront.admission.urgency import engine_level
from wagtailfront.forwarding.tests.builders import (
    STREAMING,
    Scene,
    make_record,
    make_route,
)
from wagtailfront.platform.tests.wire import HANDLE, UNSIGNED, read_priority

ROUTES = [make_route(STREAMING, priority=priority) for priority in range(3)]


def sent_level(scene):
    """Return the priority in the latest request to an engine."""
    return read_priority(scene.pool.last.payload)


def test_a_prefilled_prompt_does_not_precede_more_urgent_requests():
    """Guards urgent callers against prompts that were prefilled elsewhere."""
    engines = [make_record("p1", stage="prefill"), make_record("d1", stage="decode")]
    scene = Scene(engines, is_model=True)
    scene.context.admission.set_routes(ROUTES)
    scene.start(ROUTES[2], prompt_tokens=20_000)
    scene.pool.last.respond(200, UNSIGNED, HANDLE)
    prefilled = sent_level(scene)
    scene.start(ROUTES[1], prompt_tokens=10)
    assert sent_level(scene) < prefilled


def test_of_one_rank_the_request_with_the_least_time_to_spare_is_first():
    """Guards long prompts, and callers that return, against the others."""
    scene = make_scene()
    scene.context.admission.set_routes(ROUTES)
    levels = []
    for time_left, prompt_tokens in ((5.0, 10), (5.0, 70_000), (0.3, 10)):
        ask(scene, time_left=time_left, prompt_tokens=prompt_tokens, priority=1)
        set_queue(scene, 0.0)
        levels.append(sent_level(scene))
    assert levels[1] < levels[0]
    assert levels[2] < levels[0]


@given(
    ranks=st.sets(st.integers(0, 100), min_size=2),
    spares=st.tuples(st.floats(-1.0, 2.0), st.floats(-1.0, 2.0)),
)
def test_no_request_precedes_one_of_higher_rank(ranks, spares):
    """Guards the order that the operator sets, whatever time is left."""
    first, second = sorted(ranks)[:2]
    ordered = sorted(ranks)
    higher = engine_level(first, ordered, spare=spares[0])
    lower = engine_level(second, ordered, spare=spares[1])
    assert 0 <= higher <= lower <= 9
    assert higher < lower or len(ranks) > 10
