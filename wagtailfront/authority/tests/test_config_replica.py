"""State machine of the configuration's replication under faults."""

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_log import ConfigLog
from wagtailfront.authority.freshness import Freshness
from wagtailfront.authority.tests.config_builders import (
    CENTRES,
    ENGINES,
    drain,
    limit_change,
    make_member,
)
from wagtailfront.authority.tests.config_fleet import (
    Fleet,
    LateWork,
    Parts,
    StaleDispatch,
    VersionReverted,
)
from wagtailfront.membership.member_list import MemberList
from wagtailfront.membership.pinger import Pinger
from wagtailfront.stores.memory import (
    NO_FAULT,
    OUTAGE,
    late_write,
    lost_answer,
    lost_request,
    slow,
)

SIZE = 5
TABLE_FAULTS = {
    "none": NO_FAULT,
    "outage": OUTAGE,
    "lost answers": lost_answer(reply_after=0.5),
    "lost requests": lost_request(reply_after=0.5),
    "late writes": late_write(apply_after=1.2, reply_after=0.4),
    "slow": slow(1.6),
}
NUMBERS = st.integers(0, SIZE - 1)
CHANGES = st.one_of(
    st.builds(
        drain, st.sampled_from(ENGINES), st.sampled_from(("draining", "serving"))
    ),
    st.builds(limit_change, st.sampled_from(("till", "van")), st.integers(1, 9)),
)


class ReplicaMachine(RuleBasedStateMachine):
    """Combines faults at random; the fleet checks itself at every step."""

    parts = Parts

    @initialize(seed=st.integers(0, 2**16))
    def set_up(self, seed):
        self.fleet = Fleet(size=SIZE, seed=seed, parts=self.parts)
        self.fleet.run(4.0)
        assert self.fleet.accepted == self.fleet.nodes[0].replica.log.version

    def running(self, number):
        node = self.fleet.nodes.get(number)
        return node is not None and not node.paused

    @rule(tenths=st.integers(1, 30))
    def wait(self, tenths):
        self.fleet.run(tenths / 10)

    @rule(number=NUMBERS, change=CHANGES, pause=st.integers(0, 3))
    def propose(self, number, change, pause):
        self.propose_if_running(number, change)
        self.fleet.run(pause * 0.1)

    def propose_if_running(self, number, change):
        if self.running(number):
            self.fleet.propose(number, change)

    @rule(first=NUMBERS, second=NUMBERS, age=st.integers(0, 3))
    def race(self, first, second, age):
        """Two operators change one resource from one base version."""
        if self.running(first) and self.running(second):
            version = self.fleet.nodes[first].replica.log.version
            for number in (first, second):
                change = drain(ENGINES[0], ("draining", "serving")[number % 2])
                base = max(0, version - age)
                self.fleet.propose(number, change, base_version=base)
            self.fleet.run(0.5)

    @rule(number=NUMBERS)
    def pause(self, number):
        if self.running(number):
            self.fleet.pause(number)

    @rule(number=NUMBERS)
    def resume(self, number):
        if number in self.fleet.nodes and not self.running(number):
            self.fleet.resume(number)

    @rule(number=NUMBERS)
    def kill(self, number):
        self.fleet.kill(number)

    @rule(number=NUMBERS)
    def leave(self, number):
        if self.running(number):
            self.fleet.leave(number)

    @rule(number=NUMBERS)
    def start_with_nothing(self, number):
        self.fleet.start(number)

    @rule(number=NUMBERS, table=st.booleans())
    def cut_one(self, number, table):
        self.fleet.cut([number], table=table)

    @rule(centre=st.integers(0, len(CENTRES) - 1))
    def cut_centre(self, centre):
        inside = [n for n in range(SIZE) if n % len(CENTRES) == centre]
        self.fleet.cut(inside, table=True)

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(name=st.sampled_from(sorted(TABLE_FAULTS)))
    def fault_in_table(self, name):
        self.fleet.table.default_fault = TABLE_FAULTS[name]

    @rule(down=st.booleans())
    def fault_in_objects(self, down):
        self.fleet.objects.default_fault = OUTAGE if down else NO_FAULT

    @rule(number=NUMBERS)
    def slow_links(self, number):
        """Messages of one instance take seconds, so its pings are late."""
        self.fleet.slow ^= {make_member(number).address}

    @rule()
    def toggle_messy_network(self):
        """Messages are lost, duplicated and reordered."""
        self.fleet.unreliable = not self.fleet.unreliable

    @rule(number=NUMBERS, other=NUMBERS, change=CHANGES)
    def answer_slowly_without_table(self, number, other, change):
        """An instance receives only answers that are seconds old."""
        self.fleet.slow |= {make_member(number).address}
        self.fleet.table_cut |= {number}
        self.fleet.run(3.0)
        self.propose_if_running(other, change)
        self.fleet.run(3.0)

    @rule(order=st.permutations(range(SIZE)), change=CHANGES)
    def forget_across_cut(self, order, change):
        """An instance that acknowledged a version restarts without state
        among those that never received it, while the table is down."""
        first, second, third, fourth, _ = order
        self.fleet.cut([first, second], table=True)
        self.propose_if_running(third, change)
        self.fleet.run(3.2)
        self.fleet.table.default_fault = OUTAGE
        self.fleet.start(fourth)
        self.fleet.cut([fourth], table=True)
        self.fleet.run(2.0)

    @rule(number=NUMBERS, other=NUMBERS, changes=st.lists(CHANGES, max_size=4))
    def start_during_changes(self, number, other, changes):
        """Copies for a new instance are in transit with newer versions."""
        self.fleet.start(number)
        for change in changes:
            self.propose_if_running(other, change)
            self.fleet.run(0.3)

    @precondition(lambda self: hasattr(self, "fleet"))
    @invariant()
    def outcomes_are_true(self):
        self.fleet.check_outcomes()

    def teardown(self):
        """Check that a change is accepted within 7 s once all faults ended."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.heal()
        fleet.table.default_fault = NO_FAULT
        fleet.objects.default_fault = NO_FAULT
        for number in range(SIZE):
            node = fleet.nodes.get(number)
            if node is None or node.pinger.leaving:
                fleet.start(number)
            elif node.paused:
                fleet.resume(number)
        fleet.run(25.0)
        change_id = fleet.propose(0, limit_change("till", 3))
        fleet.run(7.0)
        assert isinstance(fleet.outcomes.get(change_id), effects.Accepted)
        fleet.check_outcomes()
        assert all(
            node.replica.may_dispatch(fleet.now) for node in fleet.nodes.values()
        )


SETTINGS = settings(max_examples=50, stateful_step_count=25)
TestReplica = ReplicaMachine.TestCase
TestReplica.settings = SETTINGS


class SparseParts(Parts):
    """Instances that ping three peers each and need relays for the rest."""

    peers = 3


class SparseMachine(ReplicaMachine):
    """The same faults where instances do not ping all others."""

    parts = SparseParts


TestSparseReplica = SparseMachine.TestCase
TestSparseReplica.settings = settings(SETTINGS, max_examples=30)


class RevertingLog(ConfigLog):
    """Accepts any copy or entry, also an older one."""

    def is_newer(self, version):
        return True


class ReplyTimePinger(Pinger):
    """Dates a confirmation by the reply instead of the request."""

    def age_start(self, sent_at, now):
        return now


class InstanceFreshness(Freshness):
    """Counts a restarted instance as its previous incarnation."""

    def voter(self, incarnation, instance):
        roster = self.config.roster
        return next(
            (name for name, member in roster.items() if member.instance == instance),
            incarnation,
        )


class NoWaitFreshness(Freshness):
    """Accepts a version without waiting for confirmations to expire."""

    def __init__(self, **arguments):
        super().__init__(accept_wait=0.0, **arguments)


class MinorityFreshness(Freshness):
    """Accepts the confirmation of a single member."""

    def majority(self, count):
        return 1


class UndatedRelayFreshness(Freshness):
    """Treats a relayed report as recent as the answer that carries it."""

    def handle_relays(self, sent_at, version, relays):
        ageless = [(0.0, bitmap) for _, bitmap in relays]
        super().handle_relays(sent_at, version, ageless)


class StaleMemberList(MemberList):
    """Uses every instance that reported within 10 s, even a leaving one."""

    def __init__(self, *, now):
        super().__init__(now=now, work_lifetime=10.0)

    def handle_leaving(self, incarnation):
        pass


FAULTS = {
    "age of relays dropped": ("freshness", UndatedRelayFreshness, StaleDispatch),
    "leaving ignored": ("members", StaleMemberList, LateWork),
    "older version taken": ("log", RevertingLog, VersionReverted),
    "age from the reply": ("pinger", ReplyTimePinger, StaleDispatch),
    "restarted incarnation counted": (
        "freshness",
        InstanceFreshness,
        StaleDispatch,
    ),
    "no wait": ("freshness", NoWaitFreshness, StaleDispatch),
    "no majority": ("freshness", MinorityFreshness, StaleDispatch),
}


def faulty_machine(name):
    """Return the machine with one fault and only the check for it."""
    part, fault, check = FAULTS[name]
    base = SparseParts if fault is UndatedRelayFreshness else Parts
    parts = type("FaultyParts", (base,), {part: fault, "checked": (check,)})
    members = {"parts": parts, "teardown": lambda self: None}
    return type("FaultyMachine", (ReplicaMachine,), members)


@pytest.mark.parametrize("name", FAULTS)
def test_machine_finds_fault(name):
    """Guards against a machine whose checks miss a known fault."""
    with pytest.raises(FAULTS[name][2]):
        run_state_machine_as_test(
            faulty_machine(name),
            settings=settings(SETTINGS, max_examples=400, phases=[Phase.generate]),
        )
