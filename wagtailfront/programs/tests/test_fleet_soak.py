"""Short seeded soak of real processes, and the faults that it must find."""

import pytest

from wagtailfront.programs.tests.cut_soak import play_cuts
from wagtailfront.programs.tests.fleet_soak import play
from wagtailfront.programs.tests.rule_checker import RuleChecker


@pytest.mark.parametrize("seed", [1, 2])
def test_rules_hold_after_all_connections_to_the_store_fell_silent(seed):
    """Guards DRAIN, DENIED and ORDER on real processes and the real clock."""
    result = play(size=6, seed=seed)
    assert result.violations == []
    assert result.requests > 100
    assert result.streams > 50


def test_rules_hold_while_links_to_endpoints_are_cut():
    """Guards runs, refusals and answers of requests that peers send on."""
    result = play_cuts(size=4, seed=1)
    assert result.violations == []
    assert result.requests > 200
    assert result.streams > 50


def make_checker():
    """Return a checker of an endpoint that has left, and of a new route."""
    checker = RuleChecker()
    checker.record_disruption(at=9.0)
    checker.record_departure("e1", at=10.0)
    checker.record_route("/new/", at=10.0)
    return checker


@pytest.mark.parametrize(("at", "rules"), [(12.0, []), (12.1, ["DRAIN"])])
def test_a_request_at_an_endpoint_that_left_is_found(at, rules):
    """Guards the check of DRAIN against being blind, or too strict."""
    checker = make_checker()
    checker.record_request("r1", "i1", "/a/", at=at)
    checker.record_arrival("r1", "e1")
    assert [violation.rule for violation in checker.find_violations()] == rules


@pytest.mark.parametrize(
    ("at", "path", "rules"),
    [(12.0, "/new/x", []), (12.1, "/new/x", ["DENIED"]), (12.1, "/old/x", [])],
)
def test_a_proper_request_that_is_denied_is_found(at, path, rules):
    """Guards the check of DENIED likewise."""
    checker = make_checker()
    checker.record_request("r1", "i1", path, at=at)
    checker.record_status("r1", 404)
    assert [violation.rule for violation in checker.find_violations()] == rules


def test_a_disruption_postpones_what_must_hold():
    """Guards the check against blaming instances that are out of touch."""
    checker = make_checker()
    checker.record_disruption(at=9.5)
    checker.record_request("r1", "i1", "/new/x", at=12.4)
    checker.record_status("r1", 404)
    assert not checker.find_violations()


def test_events_of_two_versions_in_one_stream_are_found():
    """Guards the check of ORDER likewise."""
    checker = RuleChecker()
    for request, version in (("r1", "v1"), ("r2", "v2")):
        checker.record_request(request, "i1", "/stream/", at=1.0)
        checker.record_event("r1", version, request)
    checker.record_event("r3", "v1", "r3")
    assert [each.rule for each in checker.find_violations()] == ["ORDER"]


@pytest.mark.parametrize(
    ("path", "arrivals", "status", "data", "rules"),
    [
        ("/order/1", 1, 200, b"r1", []),
        ("/order/1", 2, 200, b"r1", ["TWICE"]),
        ("/a/1", 2, 200, b"r1", []),
        ("/order/1", 1, 503, b"r1", ["REFUSED"]),
        ("/order/1", 0, 503, b"r1", []),
        ("/a/1", 1, 200, b"r2", ["MIXED"]),
    ],
)
def test_runs_refusals_and_answers_are_checked(path, arrivals, status, data, rules):
    """Guards the checks of TWICE, REFUSED and MIXED likewise."""
    checker = RuleChecker()
    checker.record_request("r1", "i1", path, at=1.0)
    for _ in range(arrivals):
        checker.record_arrival("r1", "e1")
    checker.record_status("r1", status)
    checker.record_answer("r1", data)
    assert [each.rule for each in checker.find_violations()] == rules
