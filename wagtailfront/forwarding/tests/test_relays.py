"""Tests of reports and relays between instances without a network."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.decisions.crash_evidence import Decision
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.fleet_load import FleetLoad
from wagtailfront.forwarding.load_exchange import send_interval
from wagtailfront.forwarding.relay_groups import relay_targets
from wagtailfront.forwarding.tests.fleet import Fleet


@given(size=st.integers(1, 350))
def test_reports_of_every_instance_reach_every_other(size):
    """Guards against instances that never get reports of some others."""
    fleet = [f"10.0.{number // 250}.{number % 250}:7" for number in range(size)]
    targets = {own: relay_targets(fleet, own) for own in fleet}
    for own in fleet:
        reached = Counter([own, *targets[own].group])
        for relay in (own, *targets[own].group):
            reached.update(targets[relay].others)
        assert reached == Counter(fleet)


@given(size=st.integers(13, 1000))
def test_an_instance_sends_to_few_peers(size):
    """Guards against traffic that grows with the square of the fleet."""
    fleet = [f"{number:04}" for number in range(size)]
    most = max(len(relay_targets(fleet, own).addresses) for own in fleet)
    assert most <= 3 * size**0.5


@given(size=st.integers(13, 1000))
def test_messages_of_an_instance_do_not_grow_with_the_fleet(size):
    """Guards the processor time of an instance in a fleet of hundreds."""
    fleet = [f"{number:04}" for number in range(size)]
    targets = relay_targets(fleet, fleet[size // 2])
    # Twelve instances, the most that do not relay, send as many.
    assert len(targets.addresses) / send_interval(targets) <= 11 / 0.08


@pytest.mark.parametrize("size", [2, 6, 12, 13, 40, 84])
def test_all_instances_know_the_load_of_all(size):
    """Simulates requests of all instances at one endpoint."""
    fleet = Fleet(size)
    fleet.discover_peers()
    for exchange in fleet.instances.values():
        exchange.load.health.state("e1/1").outstanding = 2
    fleet.run(0.6)
    known = {fleet.outstanding(exchange) for exchange in fleet.instances.values()}
    assert known == {2 * size}
    for exchange in fleet.instances.values():
        exchange.load.health.state("e1/1").outstanding = 0
    fleet.run(0.6)
    known = {fleet.outstanding(exchange) for exchange in fleet.instances.values()}
    assert known == {0}


def test_messages_of_an_instance_hardly_grow_with_the_fleet():
    """Guards against traffic of large fleets; all loads change constantly."""
    rates = {}
    for size in (12, 84):
        fleet = Fleet(size)
        fleet.discover_peers()
        fleet.sent.clear()
        for step in range(25):
            for exchange in fleet.instances.values():
                exchange.load.health.state("e1/1").outstanding = step
            fleet.run(0.08)
        rates[size] = max(fleet.sent.values()) / 2.0
    assert rates[84] <= rates[12]


def test_a_new_instance_is_known_to_all_without_reads_of_the_store():
    """Guards the store against reads by all instances when one starts."""
    fleet = Fleet(20)
    fleet.discover_peers()
    joined = fleet.add("i900")
    joined._handle_rows(fleet.rows)
    joined.load.health.state("e1/1").outstanding = 5
    fleet.run(3.0)
    for exchange in fleet.instances.values():
        assert len(exchange.addresses) == 20
        assert fleet.outstanding(exchange) == 5


def test_the_load_of_an_instance_that_is_gone_is_forgotten():
    """Guards against load reports that outlive their instance."""
    fleet = Fleet(20)
    fleet.discover_peers()
    for exchange in fleet.instances.values():
        exchange.load.health.state("e1/1").outstanding = 1
    fleet.run(0.6)
    gone = fleet.rows[7].address
    fleet.lost.add(gone)
    fleet.run(5.0)
    others = [fleet.instances[a] for a in fleet.instances if a != gone]
    # Instances that it relayed to also miss the others of its group.
    assert all(fleet.outstanding(exchange) <= 19 for exchange in others)
    group = relay_targets(fleet.instances, gone).group
    assert {fleet.outstanding(fleet.instances[a]) for a in group} == {19}


@pytest.mark.parametrize("size", [6, 20])
def test_evidence_of_a_crash_reaches_all_in_few_bytes(size):
    """Simulates crashes of engines with many requests of all instances.

    Guards against instances that report received evidence again: this once
    saturated the links of small instances until they were restarted.
    """
    fleet = Fleet(size)
    fleet.discover_peers()
    count = 30
    for number in range(count):
        for address, exchange in fleet.instances.items():
            fingerprint = f"{address}-{number}".ljust(32, "x")
            exchange.evidence.start(fingerprint, f"e{number}/1")
            exchange.evidence.record_crash(
                f"e{number}/1", f"e{number}/1/{address}", now=fleet.timers.now
            )
        fleet.run(0.16)
    fleet.run(2.5)
    for exchange in fleet.instances.values():
        assert len(exchange.evidence.suspicions) == count * size
    # Each item goes out twice, and an instance relays for a few others.
    item_bytes = 200
    assert max(fleet.bytes.values()) < 4 * count * (size - 1) * item_bytes


@pytest.mark.parametrize("size", [6, 84])
def test_all_instances_refuse_a_part_that_crashed_engines_of_some(size):
    """Guards against evidence that each instance has to collect itself."""
    fleet = Fleet(size)
    fleet.discover_peers()
    for number, exchange in enumerate(list(fleet.instances.values())[:3]):
        fleet.run(1.0)
        sent = fleet.timers.now - 0.3
        exchange.crashing_parts.record_crash(
            ("sound", "deadly"), f"e{number}", sent=sent, now=fleet.timers.now
        )
    fleet.run(1.5)
    joined = fleet.add("i900")
    joined._handle_rows(fleet.rows)
    fleet.run(2.0)
    refused = {
        exchange.crashing_parts.find_refused(("sound", "deadly"), now=fleet.timers.now)
        for exchange in fleet.instances.values()
    }
    assert refused == {"deadly"}


@pytest.mark.parametrize("size", [6, 84])
def test_an_instance_that_joins_refuses_requests_that_crashed_endpoints(size):
    """Guards against evidence that only instances of that time have."""
    fleet = Fleet(size)
    fleet.discover_peers()
    first = fleet.instances[fleet.rows[0].address]
    for crash in ("e1/1", "e2/1"):
        first.evidence.start("f" * 32, crash)
        first.evidence.record_crash(crash, crash, now=fleet.timers.now)
    fleet.run(5.0)
    joined = fleet.add("i900")
    joined._handle_rows(fleet.rows)
    fleet.run(2.0)
    decisions = {
        exchange.evidence.place(
            "f" * 32, endpoints=(), live=(), now=fleet.timers.now
        ).decision
        for exchange in fleet.instances.values()
    }
    assert decisions == {Decision.REFUSE}


@settings(deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 5)), max_size=60
    ),
    lost=st.sets(st.integers(0, 59)),
)
def test_sums_equal_the_last_reports_of_peers(steps, lost):
    """Guards the running sums against lost digests."""
    receiver = FleetLoad(incarnation="r", address="r", health=EndpointHealth())
    senders = [
        FleetLoad(incarnation=str(number), address=str(number), health=EndpointHealth())
        for number in range(4)
    ]
    for number, (sender, endpoint, load) in enumerate(steps):
        state = senders[sender].health.state(f"e{endpoint}/1")
        state.outstanding = load
        state.pending[load % 2] = load * 100
        digest = senders[sender].make_digest(full=False)
        if digest is not None and number not in lost:
            receiver.merge(digest, now=0.0)
    for sender in senders:
        receiver.merge(sender.make_digest(full=True), now=0.0)
    for endpoint in ("e0/1", "e1/1", "e2/1"):
        states = [sender.health.state(endpoint) for sender in senders]
        assert receiver.outstanding(endpoint, now=0.0) == sum(
            state.outstanding for state in states
        )
        assert receiver.pending_before(endpoint, 9, now=0.0) == sum(
            sum(state.pending.values()) for state in states
        )
