"""Tests of the bound on callers' memory and of who gives way."""

import pytest

from wagtailfront.intake.body_memory import BodyMemory
from wagtailfront.intake.intake_memory import PROGRESS_BYTES, IntakeMemory
from wagtailfront.intake.shares import divide_memory
from wagtailfront.intake.tests.builders import FakeOwner, make_memory

MEGABYTE = 1_000_000


def hold(memory, size, *, at=0.0, **options):
    """Return an owner and its holder of `size` bytes."""
    owner = FakeOwner(**options)
    holder = memory.hold(owner, now=at)
    assert memory.resize(holder, size, now=at)
    return owner, holder


def test_the_stalled_one_that_holds_most_gives_way_first():
    """Guards callers in progress against those that stop short."""
    memory = make_memory()
    small, large = hold(memory, 800_000)[0], hold(memory, 1_200_000)[0]
    active, _holder = hold(memory, 900_000, at=2.0)
    hold(memory, 600_000, at=2.5)
    assert [each.gave_way for each in (small, large, active)] == [False, True, False]
    assert memory.total == 2_300_000


def test_single_bytes_are_no_progress():
    """Guards against callers that keep much memory by sending a little."""
    memory = make_memory()
    owner, holder = hold(memory, 2_000_000)
    for second in range(1, 4):
        assert memory.resize(holder, 2_000_000 + second, now=float(second))
    hold(memory, 1_500_000, at=4.0)
    assert owner.gave_way


def test_progress_keeps_a_request():
    """Guards a steady upload against newer ones of its size."""
    memory = make_memory()
    owner, holder = hold(memory, 1_900_000)
    assert memory.resize(holder, 1_900_000 + PROGRESS_BYTES, now=2.0)
    newcomer = memory.hold(FakeOwner(), now=2.5)
    assert not memory.resize(newcomer, 1_100_000, now=2.5)
    assert not owner.gave_way


def test_one_that_grows_takes_the_room_of_a_much_larger_one():
    """Guards ordinary requests against a crowd that never stalls."""
    memory = make_memory()
    owner, _holder = hold(memory, 2_900_000)
    hold(memory, 400_000, at=0.5)
    assert owner.gave_way


def test_requests_that_were_passed_on_keep_their_memory():
    """Guards a refusal's promise that its request has not run."""
    memory = make_memory()
    owner, _holder = hold(memory, 2_900_000, may_give_way=False)
    newcomer = memory.hold(FakeOwner(), now=9.0)
    assert not memory.resize(newcomer, 1_100_000, now=9.0)
    assert not owner.gave_way


def test_small_requests_have_a_reserve():
    """Guards ordinary requests while large ones fill their part."""
    memory = make_memory()
    hold(memory, 3_000_000, may_give_way=False)
    for _caller in range(9):
        hold(memory, 100_000)
    last = memory.hold(FakeOwner(), now=0.0)
    assert not memory.resize(last, 200_000, now=0.0)


def test_a_request_larger_than_the_share_is_held_alone():
    """Guards the largest legal request on a small machine."""
    memory = make_memory()
    hold(memory, 100_000)
    hold(memory, 8_000_000)
    newcomer = memory.hold(FakeOwner(), now=0.5)
    assert not memory.resize(newcomer, 5_000_000, now=0.5)


def test_an_announced_length_needs_room_before_it_arrives():
    """Guards against reading bodies that will be refused."""
    memory = make_memory()
    hold(memory, 2_000_000, may_give_way=False)
    newcomer = memory.hold(FakeOwner(), now=0.0)
    assert not memory.resize(newcomer, 1000, now=0.0, announced=1_200_000)


def test_small_requests_leave_a_large_one_its_place():
    """Guards a body beyond the share against ordinary callers beside it."""
    memory = make_memory()
    large, holder = hold(memory, 6_000_000)
    callers = [hold(memory, 100_000, at=2.0)[1] for _caller in range(10)]
    assert memory.resize(holder, 7_000_000, now=2.0)
    assert not large.gave_way
    for each in callers:
        memory.release(each)
    assert memory.small_total == 0


def test_many_small_requests_take_the_place_of_a_large_one():
    """Guards ordinary callers against a body beyond the share."""
    memory = make_memory()
    large, _holder = hold(memory, 6_000_000)
    for _caller in range(11):
        hold(memory, 100_000, at=0.5)
    assert large.gave_way


def test_one_that_gave_way_is_counted_no_more():
    """Guards the total against bytes that are counted after their end."""
    memory = make_memory()
    _owner, holder = hold(memory, 2_000_000)
    memory.release(holder)
    assert memory.resize(holder, 1_000_000, now=0.0)
    memory.release(holder)
    assert memory.total == 0


@pytest.mark.parametrize("memory", [160, 552, 32_000])
def test_the_shares_leave_room_for_the_process(memory):
    """Guards a machine's limit while all shares are used."""
    shares = divide_memory(memory * MEGABYTE)
    used = 48 * MEGABYTE + shares.callers + shares.responses + shares.kernel
    assert used < 0.85 * memory * MEGABYTE
    # The largest body of the default limits.
    assert shares.bulk > 4 * MEGABYTE


@pytest.mark.parametrize("memory", [160, 552, 32_000])
def test_one_largest_request_leaves_room_for_the_process(memory):
    """Guards a machine's limit while one request exceeds the share."""
    shares = divide_memory(memory * MEGABYTE)
    intake = IntakeMemory(shares=shares)
    hold(intake, shares.largest)
    small = shares.callers - shares.bulk
    responses = BodyMemory(max_total=shares.responses, borrowed=lambda: intake.excess)
    assert not responses.hold(on_evicted=None).resize(shares.responses)
    used = shares.largest + small + shares.kernel + shares.responses // 4
    assert 48 * MEGABYTE + used < memory * MEGABYTE


def test_without_a_limit_many_of_the_largest_bodies_are_held():
    """Guards deployments whose settings have no limit of memory."""
    shares = divide_memory(32_000 * MEGABYTE)
    memory = make_memory(callers=shares.callers, bulk=shares.bulk)
    size = 4 * 1024 * 1024 * 9 // 8  # of a body that arrives
    assert [hold(memory, size) for _caller in range(54)]
