"""Seeded tests of real processes before endpoints that fall silent."""

import pytest

from wagtailfront.programs.tests.answer_checker import AnswerChecker, Ending
from wagtailfront.programs.tests.silence_play import play

SECONDS = 12.0


def describe(lost, result):
    """Return a lost request with what endpoints and instances did."""
    request = lost.ending.request
    return lost, result.checker.traces[request], result.decisions[request]


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_when_sound_endpoints_fall_silent(tmp_path, seed):
    """Guards against requests that end without an answer beside changes."""
    result = play(seed=seed, seconds=SECONDS, folder=tmp_path)
    checker = result.checker
    lost = checker.find_lost(result.decisions)
    outlasted = checker.find_outlasted(result.decisions)
    print("cut at a limit after an engine given up had gone on:", len(outlasted))
    assert [describe(each, result) for each in lost] == []
    assert checker.find_denied() == []
    assert checker.find_late() == []
    assert checker.find_disordered() == []
    assert sum(ending.status == 200 for ending in checker.endings) > 400


def test_requests_are_lost_when_their_instance_crashes(tmp_path):
    """Guards the play against missing requests that end without an answer."""
    result = play(seed=1, seconds=4.0, folder=tmp_path, has_crash=True)
    assert result.checker.find_lost(result.decisions) != []


def make_ending(**changes):
    """Return an Ending of a reset after a second; keywords replace fields."""
    fields = {
        "request": "r1",
        "instance": "i0",
        "path": "/a/",
        "limit": 3.0,
        "sent_at": 10.0,
        "ended_at": 11.0,
        "status": 0,
        "failure": "reset",
    }
    return Ending(**{**fields, **changes})


@pytest.mark.parametrize(
    ("changes", "outcomes", "is_lost"),
    [
        ({}, [], True),
        ({}, ["silent"], True),
        ({}, ["reset: 104"], False),
        ({}, ["reset: 104", "silent"], True),
        ({"ended_at": 12.8}, [], False),
        ({"failure": "", "status": 503}, [], False),
    ],
)
def test_only_a_deadline_or_an_engine_may_end_a_request(changes, outcomes, is_lost):
    """Guards against a checker that excuses lost requests."""
    checker = AnswerChecker()
    checker.record_change({"/a/": 5.0}, at=0.0)
    checker.record_ending(make_ending(**changes))
    lines = [{"kind": "attempt_failed", "outcome": outcome} for outcome in outcomes]
    assert bool(checker.find_lost({"r1": lines})) == is_lost


def test_an_engine_that_was_given_up_and_went_on_is_found():
    """Guards the count of requests whose first engine had gone on."""
    checker = AnswerChecker()
    checker.record_change({"/a/": 5.0}, at=0.0)
    checker.record_ending(make_ending(ended_at=13.0))
    checker.traces["r1"].append((12.0, "e1 went on"))
    line = {"kind": "silent", "outcome": "ended", "endpoint": "e1", "reason": "x"}
    assert checker.find_outlasted({"r1": []}) == []
    assert len(checker.find_outlasted({"r1": [line]})) == 1


def test_a_request_behind_a_closing_answer_is_lost():
    """Guards pipelined requests against a connection that is closed."""
    checker = AnswerChecker()
    checker.record_change({"/a/": 5.0}, at=0.0)
    checker.record_ending(make_ending(status=431, failure=""))
    behind = make_ending(request="r2", failure="behind a close", behind="r1")
    checker.record_ending(behind)
    assert [lost.ending for lost in checker.find_lost({})] == [behind]
