"""Start without state, draining within 3 s, and loss of the table."""

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import HEAD, change_key, decode_entry
from wagtailfront.authority.proposal import Proposal
from wagtailfront.authority.tests.config_builders import ENGINES, drain, limit_change
from wagtailfront.authority.tests.config_fleet import Fleet, Parts, StaleDispatch
from wagtailfront.membership.messages import ConfigChange, ConfigCopy
from wagtailfront.stores.memory import NO_FAULT, OUTAGE, lost_request

SIZE = 5
SEEDS = st.integers(0, 2**16)
NUMBERS = st.integers(0, SIZE - 1)


def settled_fleet(seed):
    """Return a fleet with a few changes made and a snapshot written."""
    fleet = Fleet(size=SIZE, seed=seed)
    fleet.run(4.0)
    for rate in (1, 2):
        fleet.propose(rate, limit_change("till", rate))
        fleet.run(3.5)
    fleet.run(6.0)
    return fleet


@pytest.mark.parametrize("source", ["peers", "snapshot"])
@settings(max_examples=15)
@given(seed=SEEDS, number=NUMBERS)
def test_instance_with_nothing_serves_without_table(source, seed, number):
    """Guards against an instance that can't start within 5 s without table."""
    fleet = settled_fleet(seed)
    fleet.table.default_fault = OUTAGE
    if source == "peers":
        fleet.objects.default_fault = OUTAGE
    else:
        fleet.blocked = (ConfigCopy, ConfigChange)
        # Peers' addresses then come from the snapshot's roster alone.
        fleet.list_history = [(0.0, [])]
        fleet.record_list = lambda: None
    fleet.start(number)
    fleet.run(5.0)
    started = fleet.nodes[number]
    assert started.replica.may_dispatch(fleet.now)
    assert started.replica.config == fleet.nodes[(number + 1) % SIZE].replica.config


@settings(max_examples=15)
@given(seed=SEEDS, fault=st.sampled_from((OUTAGE, lost_request(reply_after=9.0))))
def test_serving_goes_on_when_table_is_lost(seed, fault):
    """Guards against a gap between confirmation by the table and by peers."""
    fleet = settled_fleet(seed)
    fleet.table.default_fault = fault
    for _ in range(200):
        fleet.run(0.05)
        assert all(
            node.replica.may_dispatch(fleet.now) for node in fleet.nodes.values()
        )
    fleet.run(60.0)
    assert all(node.replica.may_dispatch(fleet.now) for node in fleet.nodes.values())


def test_large_fleet_is_confirmed_by_relays():
    """Guards against a roster of which each instance pings too few members."""
    fleet = Fleet(size=40, seed=1)
    fleet.run(6.0)
    fleet.table.default_fault = OUTAGE
    for _ in range(100):
        fleet.run(0.1)
        assert all(
            node.replica.may_dispatch(fleet.now) for node in fleet.nodes.values()
        )
    fleet.table.default_fault = NO_FAULT
    fleet.run(3.0)
    change_id = fleet.propose(0, drain(ENGINES[0]))
    fleet.run(7.0)
    assert isinstance(fleet.outcomes[change_id], effects.Accepted)


class SparseParts(Parts):
    """Instances that ping two peers each."""

    peers = 2


def test_change_is_accepted_after_restart_of_all():
    """Guards against ended members that no instance pings.

    If instances ping few peers and most of the roster was replaced, the
    ended members were never detected and no version was accepted any more.
    """
    fleet = Fleet(size=9, seed=1917, parts=SparseParts)
    fleet.run(4.0)
    for number in range(9):
        fleet.start(number)
    fleet.run(25.0)
    change_id = fleet.propose(0, limit_change("till", 3))
    fleet.run(7.0)
    assert isinstance(fleet.outcomes[change_id], effects.Accepted)


class EarlyRosterProposal(Proposal):
    """Changes the roster although the previous version is not in effect."""

    def _roster_may_change(self):
        return True


class EarlyRosterParts(Parts):
    """Instances with this fault."""

    proposal = EarlyRosterProposal


def grow_beside_cut_majority(parts, seed):
    """Cut off two of three members and start four other instances."""
    fleet = Fleet(size=7, seed=seed, parts=parts, members=3)
    fleet.run(4.0)
    fleet.cut([0, 1], table=True)
    for number in range(3, 7):
        fleet.start(number)
    fleet.run(20.0)


@settings(max_examples=10)
@given(seed=SEEDS)
def test_roster_cannot_outgrow_a_cut_majority(seed):
    """Guards against new members that outvote a majority cut off from them."""
    grow_beside_cut_majority(Parts, seed)
    with pytest.raises(StaleDispatch):
        grow_beside_cut_majority(EarlyRosterParts, seed)


FAULTS = {
    "none": lambda fleet, number: None,
    "paused": lambda fleet, number: fleet.pause(number),
    "alone": lambda fleet, number: fleet.cut([number], table=False),
    "alone without table": lambda fleet, number: fleet.cut([number], table=True),
    "restarted": lambda fleet, number: fleet.start(number),
    "killed": lambda fleet, number: fleet.kill(number),
    "slow links": lambda fleet, number: fleet.slow.add(f"10.0.0.{number + 1}:7000"),
    "lossy network": lambda fleet, number: setattr(fleet, "unreliable", True),
    "table lost": lambda fleet, number: setattr(
        fleet.table, "default_fault", lost_request(reply_after=9.0)
    ),
}


@settings(max_examples=80)
@given(
    seed=SEEDS,
    number=st.integers(1, SIZE - 1),
    fault=st.sampled_from(sorted(FAULTS)),
    delay=st.integers(0, 6),
    before=st.booleans(),
)
def test_draining_engine_gets_no_new_work_after_3_s(seed, number, fault, delay, before):
    """Guards against new work for a draining engine, with one fault.

    A paused instance is resumed at a random moment afterwards.
    """
    fleet = settled_fleet(seed)
    table_fault = fault == "table lost"
    if before and not table_fault:
        FAULTS[fault](fleet, number)
        fleet.run(delay * 0.3)
    fleet.propose(0, drain(ENGINES[0]))
    version = fleet.nodes[0].replica.log.version + 1
    while len(fleet.committed()) < version:
        fleet.run(0.05)
    committed_at = fleet.now
    if table_fault or not before:
        FAULTS[fault](fleet, number)
    fleet.run(3.0 + 0.1 * delay)
    node = fleet.nodes.get(number)
    if node is not None and node.paused:
        fleet.resume(number)
    for _ in range(60):
        assert_drained(fleet, committed_at)
        fleet.run(0.05)


def assert_drained(fleet, committed_at):
    """Check that no instance may use the draining engine."""
    assert fleet.now >= committed_at + 3.0
    for node in fleet.nodes.values():
        config = node.replica.config
        may_use = ENGINES[0] in config.engines and (
            config.engines[ENGINES[0]].state == "serving"
        )
        assert not (may_use and node.replica.may_dispatch(fleet.now)), node.number


@pytest.mark.parametrize("restarted", [(), (0,), (1, 3)])
@pytest.mark.parametrize("seed", range(5))
def test_changes_that_a_restored_table_has_lost_are_committed_again(seed, restarted):
    """Guards accepted and later changes after a restore of the table."""
    fleet = Fleet(size=5, seed=seed)
    fleet.run(4.0)
    copy = fleet.table.copy()
    for value in range(3):
        fleet.propose(seed % 5, limit_change("till", 3 + value))
        fleet.run(4.0)
    version = fleet.nodes[2].replica.log.version
    config = fleet.nodes[2].replica.config
    fleet.table.restore(copy)
    for number in restarted:
        fleet.start(number)
    change_id = fleet.propose(2, limit_change("van", 8))
    fleet.run(8.0)
    assert isinstance(fleet.outcomes[change_id], effects.Accepted)
    fleet.start(4)
    fleet.run(8.0)
    rows = fleet.table.rows
    assert rows[HEAD].version > version
    assert decode_entry(rows[change_key(version)].value).change_id == "op2"
    for node in fleet.nodes.values():
        assert node.replica.config.workspaces["till"] == config.workspaces["till"]
        assert node.replica.log.version == rows[HEAD].version
        assert node.replica.log_restorer.behind_since is None


def test_a_change_based_on_a_version_that_the_table_lost_is_not_invalid():
    """Guards an operator's call while the table is being restored."""
    fleet = Fleet(size=5, seed=3)
    fleet.run(4.0)
    copy = fleet.table.copy()
    fleet.propose(0, limit_change("till", 3))
    fleet.run(4.0)
    fleet.table.restore(copy)
    change_id = fleet.propose(1, limit_change("till", 4))
    fleet.run(8.0)
    assert isinstance(fleet.outcomes[change_id], effects.Accepted)
