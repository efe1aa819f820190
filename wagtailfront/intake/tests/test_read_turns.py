"""Tests of the order in which connections are read."""

import itertools

import pytest

from wagtailfront.intake.read_turns import LIGHT_COST, PASS_COST, ReadTurns

READ = 16 * 1024
TINY_PARTS = READ // 6  # chunks of one byte in a read


def read_tiny_chunks(turns, key):
    """Count one read of chunks of one byte."""
    turns.charge(key, size=READ, parts=TINY_PARTS)


@pytest.mark.parametrize("parts", [1, TINY_PARTS])
def test_a_new_request_waits_for_one_pass_at_most(parts):
    """Guards ordinary callers against a crowd that sends without end."""
    turns, crowd = ReadTurns(), range(1000)
    for key in crowd:
        while not turns.must_wait(key):
            turns.charge(key, size=READ, parts=parts)
        turns.wait(key)
    assert not turns.must_wait("ordinary")
    for key in turns.take_pass():
        turns.charge(key, size=READ, parts=parts)
    assert turns.pass_cost < 2 * PASS_COST


def test_turns_go_round():
    """Guards a connection of the crowd against waiting for ever."""
    turns, crowd, seen = ReadTurns(), range(100), []
    for key in crowd:
        turns.wait(key)
    for _pass in itertools.takewhile(lambda _: len(seen) < 300, itertools.count()):
        for key in turns.take_pass():
            seen.append(key)
            read_tiny_chunks(turns, key)
            turns.wait(key)
    assert seen[:300] == [*crowd, *crowd, *crowd]


def test_large_prompts_one_after_the_other_never_wait():
    """Guards ordinary callers on kept connections against turns."""
    turns = ReadTurns()
    for _request in range(100):
        for _read in range(8):
            turns.charge("a", size=READ, parts=1)
            assert not turns.must_wait("a")
        turns.settle("a")


def test_complete_requests_in_tiny_chunks_stay_dear():
    """Guards against a crowd that completes its requests."""
    turns = ReadTurns()
    for _request in range(8):
        read_tiny_chunks(turns, "a")
        turns.settle("a")
    read_tiny_chunks(turns, "a")
    assert turns.must_wait("a")
    assert turns.read_size("a") == READ


def test_one_that_ended_has_no_turn():
    """Guards against reading a connection that was closed in a pass."""
    turns = ReadTurns()
    for key in "abc":
        turns.wait(key)
    passed = []
    for key in turns.take_pass():
        passed.append(key)
        turns.forget("b")
    assert passed == ["a", "c"]
    assert LIGHT_COST < PASS_COST
