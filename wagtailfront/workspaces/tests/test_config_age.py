"""Tests of the largest age that a configuration can have."""

from hypothesis import given, settings, strategies as st

from wagtailfront.forwarding.interfaces import RoutingRead, StorePosition
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.freshness.store_clock import REWRITE_SECONDS, StoreClock, StoreTime
from wagtailfront.membership.messages import PlacementDigest
from wagtailfront.workspaces.config_age import ConfigAge

DELAYS = st.floats(0.0, 8.0)  # seconds of a step, long ones of frozen processes
PACES = st.floats(1 - 1e-4, 1 + 1e-4)  # of a clock, relative to true time


class Machine:
    """Instance that asks the store, and is told by peers, step by step.

    Attributes
    ----------
    now : float
        True time in seconds.
    truly_newest_at : float
        Latest true time at which its configuration was the newest.
    """

    def __init__(self, *, boot, store, boot_pace=1.0, store_pace=1.0, era=1):
        self.now = 0.0
        self.boot, self.boot_pace = boot, boot_pace
        self.store, self.store_pace = store, store_pace
        self.era = era
        self.truly_newest_at = -1.0
        self.versions = StoreVersions(tables=("routing", "registry"))
        self.store_clock = StoreClock(log=LogLines())
        self.age = ConfigAge(
            store_clock=self.store_clock,
            versions=self.versions,
            limit=5.0,
            clock=self.boot_time,
            timer_clock=lambda: self.now,
        )

    def boot_time(self):
        return self.boot + self.now * self.boot_pace

    def store_time(self):
        return int((self.store + self.now * self.store_pace) * 1000) / 1000

    def ask(self, delays, *, table="routing"):
        """Ask the store; time passes between any two steps."""
        before_call, to_store, back, before_use = delays
        sent = self.boot_time()
        self.now += before_call + to_store
        told, told_at, era = self.store_time(), self.now, self.era
        self.now += back
        received = self.boot_time()
        self.store_clock.record(StoreTime(era, sent, received, told))
        self.now += before_use
        if table == "routing":
            cursor = StorePosition(era, 7)
            self.versions.record("routing", cursor)
            read = RoutingRead(True, cursor=cursor, store_time=told)
            self.age.record_applied(read)
            self.truly_newest_at = max(self.truly_newest_at, told_at)

    def hear(self, delays, *, ver=7):
        """Hear a peer's report of its own answer, late."""
        told, told_at, era = self.store_time(), self.now, self.era
        self.now += sum(delays)
        self.age.merge(make_digest(told, era=era, ver=ver), now=self.now)
        if ver <= 7 and era == self.versions.era:
            self.truly_newest_at = max(self.truly_newest_at, told_at)

    def check(self):
        """Check that the age is not too small."""
        least = (self.now - self.truly_newest_at) * self.boot_pace
        assert self.age.age() >= least - 1e-6


def make_digest(told, *, era=1, ver=7, **fields):
    """Return a peer's digest with the store's clock in seconds."""
    return PlacementDigest(
        incarnation="p",
        loads=(),
        prompts=(),
        era=era,
        versions=(ver, 0),
        table_store_ms=(int(told * 1000), None),
        clock_era=era,
        **fields,
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["own", "registry", "peer", "newer peer"]),
        st.tuples(DELAYS, DELAYS, DELAYS, DELAYS),
        DELAYS,
    ),
    max_size=12,
)


@settings(max_examples=300, deadline=None)
@given(
    steps=STEPS,
    boot=st.floats(0.0, 1e6),
    store=st.floats(0.0, 1e9),
    boot_pace=PACES,
    store_pace=PACES,
)
def test_the_age_is_never_too_small(steps, boot, store, boot_pace, store_pace):
    """Guards against answers and reports whose delay hides the age."""
    machine = Machine(
        boot=boot, store=store, boot_pace=boot_pace, store_pace=store_pace
    )
    for kind, delays, pause in steps:
        if kind in ("own", "registry"):
            machine.ask(delays, table="routing" if kind == "own" else kind)
        else:
            machine.hear(delays, ver=7 if kind == "peer" else 8)
        machine.check()
        machine.now += pause
        machine.check()


def test_quick_answers_give_a_small_age():
    """Guards against a bound that is safe and useless."""
    machine = Machine(boot=500.0, store=20.0)
    for _ in range(600):
        machine.ask((0.0, 0.002, 0.002, 0.0))
        assert machine.age.age() < 0.01
        machine.now += 1.0
    machine.ask((0.0, 20.0, 0.0, 0.0))  # a long watch, answered at its end
    assert machine.age.age() < 0.02
    machine.hear((0.3,))
    assert machine.age.age() < 0.32


def test_a_suspended_or_frozen_machine_knows_its_age():
    """Guards against clocks that stop, and answers that wait for a thaw."""
    machine = Machine(boot=500.0, store=20.0)
    machine.ask((0.0, 0.002, 0.002, 0.0))
    machine.now += 3600.0
    assert machine.age.age() > 3599.0
    machine.ask((0.0, 0.002, 60.0, 30.0))
    assert machine.age.age() > 89.0


def test_other_tables_and_unknown_times_do_not_count():
    """Guards against ages of a configuration that was not asked for."""
    machine = Machine(boot=500.0, store=20.0)
    machine.ask((0.0, 0.0, 0.0, 0.0), table="registry")
    machine.age.record_applied(RoutingRead(True, cursor=StorePosition(1, 7)))
    assert machine.age.age() == float("inf")
    assert machine.age.fields(now=0.0, full=True) == {}


def test_a_report_of_an_older_build_says_nothing():
    """Guards against errors and ages by digests without the fields."""
    machine = Machine(boot=500.0, store=20.0)
    machine.ask((0.0, 0.0, 0.0, 0.0))
    machine.now += 9.0
    digest = PlacementDigest(
        incarnation="p", loads=(), prompts=(), era=1, versions=(7, 0)
    )
    machine.age.merge(digest, now=machine.now)
    assert machine.age.age() > 8.9


def test_a_new_era_counts_when_it_is_written_again():
    """Guards against an old copy, and against pairs of the era before."""
    machine = Machine(boot=500.0, store=20.0)
    machine.ask((0.0, 0.0, 0.0, 0.0))
    machine.era, machine.store = 2, 900_000.0
    machine.hear((0.0,))
    machine.now += 1.0
    for _ in range(3):
        machine.ask((0.0, 0.0, 0.0, 0.0))
        assert machine.age.age() >= 1.0
        machine.now += 0.6 * REWRITE_SECONDS / 2
    machine.now += 1.0
    machine.ask((0.0, 0.0, 0.0, 0.0))
    assert machine.age.age() < 0.01


def test_a_start_in_a_later_era_waits_too():
    """Guards against an instance that starts beside the restore."""
    machine = Machine(boot=500.0, store=20.0, era=3)
    machine.ask((0.0, 0.0, 0.0, 0.0))
    assert machine.age.age() == float("inf")
    machine.now += REWRITE_SECONDS
    machine.ask((0.0, 0.0, 0.0, 0.0))
    assert machine.age.age() < 0.01


def test_a_clock_of_the_store_that_jumps_is_noticed():
    """Guards against a difference of clocks that is no bound any more."""
    log = LogLines()
    clock = StoreClock(log=log)
    clock.record(StoreTime(1, 100.0, 100.1, 10.0))
    clock.record(StoreTime(1, 110.0, 110.1, 60.0))
    assert log.kinds() == ["store_clock"]
    assert clock.earliest(60.0, era=1, now=120.0) <= 110.1


def test_a_peer_cannot_name_a_time_to_come():
    """Guards against reports that make the age negative."""
    machine = Machine(boot=500.0, store=20.0)
    machine.ask((0.0, 0.0, 0.0, 0.0))
    machine.age.merge(make_digest(1e9), now=0.0)
    machine.now += 5.0
    assert machine.age.age() >= 5.0


def test_the_store_is_asked_before_the_age_is_reached():
    """Guards against questions that come when work is refused already."""
    machine = Machine(boot=500.0, store=20.0)
    machine.ask((0.0, 0.0, 0.0, 0.0))
    left = machine.age.due() - machine.now
    assert 0.0 < left < 0.75 * machine.age.refused_from
    assert machine.age.refused_from == 4.5
