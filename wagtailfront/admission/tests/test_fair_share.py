"""Tests that no rank is starved while more urgent requests fill engines."""

from hypothesis import given, strategies as st

from wagtailfront.admission.fair_share import FairShare
from wagtailfront.admission.tests.prompt_scene import (
    ask,
    complete,
    forget_prefills,
    make_scene,
    set_queue,
)


def test_requests_of_a_starved_rank_are_served_in_a_lasting_rush():
    """Guards the least urgent callers while others fill the engines."""
    scene = make_scene()
    served = ([], [])
    for _ in range(400):
        scene.timers.advance(0.05)
        forget_prefills(scene)
        set_queue(scene, 0.0, priority=0)
        set_queue(scene, 9.0, priority=1)
        for priority in (0, 1):
            is_sent = ask(scene, time_left=5.0, priority=priority)[1].is_sent
            if is_sent:
                complete(scene, first_event=0.0, output=0.0)
            served[priority].append(is_sent)
    assert all(served[0])
    recent = served[1][100:]
    assert 0.08 < sum(recent) / len(recent) < 0.25


def test_no_rank_is_raised_while_engines_keep_up():
    """Guards urgent callers against others without a reason."""
    share = FairShare()
    for step in range(40):
        share.record(step % 2, True, now=step * 0.1)
    assert [share.missing(rank, now=4.0) for rank in (0, 1, 2)] == [0.0] * 3


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=60))
def test_the_share_of_raised_requests_is_at_most_a_quarter(decisions):
    """Guards urgent callers whatever was decided before."""
    share = FairShare()
    for step, (rank, is_admitted) in enumerate(decisions):
        share.record(rank, is_admitted, now=step * 0.01)
    for rank in range(4):
        assert 0.0 <= share.missing(rank, now=1.0) <= 0.25
