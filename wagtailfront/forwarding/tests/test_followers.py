"""Tests of components that follow store and peers, in virtual time."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, strategies as st

from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.interfaces import (
    RegistryRead,
    RoutingRead,
    StorePosition,
)
from wagtailfront.forwarding.registry_follower import RegistryFollower
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.store_contact import StoreContact
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.store_watcher import StoreWatcher
from wagtailfront.forwarding.tests.builders import (
    FakeReply,
    LogLines,
    Scene,
    VirtualTimers,
    make_confirmations,
    make_record,
    make_request,
    make_route,
    make_service,
)
from wagtailfront.platform.tests.wire import DEADLINE
from wagtailfront.serving.caller_limits import CallerLimits

ERA = 3


def at(ver):
    """Return the position of a version in the store's present era."""
    return StorePosition(ERA, ver)


def make_config(version, **changes):
    """Return a configuration with one route."""
    fields = {
        "version": version,
        "routes": (make_route(),),
        "services": {"s": make_service()},
        "limits": CallerLimits(),
    }
    return RoutingConfig(**{**fields, **changes})


class ScriptedSource:
    """Store whose responses to reads and watches the test supplies."""

    def __init__(self):
        self.calls = []
        self.waits = []
        self.cancelled = []

    def read(self, reply):
        self.calls.append(("read", None, reply))

    def watch(self, cursor, wait, reply, *, max_bytes=None):
        self.calls.append(("watch", cursor.ver, reply))
        self.waits.append(wait)
        number = len(self.waits)
        return SimpleNamespace(
            cancel=lambda: self.cancelled.append(number), is_arriving=False
        )

    def answer(self, result):
        """Respond to the latest call."""
        self.calls[-1][2](result)

    def kinds(self):
        return [(kind, cursor) for kind, cursor, _reply in self.calls]


def make_versions():
    """Return the versions of both tables."""
    return StoreVersions(tables=("routing", "registry"))


def make_pace(peers=0):
    """Return the pace in a fleet with so many peers."""
    return FleetPace(count_peers=lambda: peers, rng=random.Random(1))


def make_watcher(*, table="routing", on_read, min_gap=0.0):
    """Start a watcher; return its source, timers, log and versions."""
    parts = SimpleNamespace(
        source=ScriptedSource(),
        timers=VirtualTimers(),
        log=LogLines(),
        versions=make_versions(),
    )
    parts.watcher = StoreWatcher(
        table=table,
        on_read=on_read,
        pace=make_pace(),
        confirmations=make_confirmations("routing", "registry"),
        bound=2.0,
        min_gap=min_gap,
        **vars(parts),
    )
    parts.watcher._on_started(None)
    return parts


@pytest.fixture
def watcher():
    seen = []
    parts = make_watcher(
        on_read=lambda read: read.config is None or seen.append(read.config)
    )
    return SimpleNamespace(seen=seen, **vars(parts))


def test_changes_are_watched_from_where_the_last_read_ended(watcher):
    """Guards against a change that falls between two watches."""
    watcher.source.answer(RoutingRead(True, config=make_config(1), cursor=at(7)))
    watcher.timers.advance(0.0)
    watcher.source.answer(RoutingRead(True, config=make_config(2), cursor=at(9)))
    watcher.timers.advance(0.0)
    assert watcher.source.kinds() == [("read", None), ("watch", 7), ("watch", 9)]
    assert [config.version for config in watcher.seen] == [1, 2]


def test_peers_are_not_told_of_a_change_that_could_not_be_applied():
    """Guards against reports of a version that is not in force here."""
    errors = [ValueError("unusable")]

    def apply(read):
        if errors:
            raise errors.pop()

    parts = make_watcher(on_read=apply)
    read = RoutingRead(True, config=make_config(1), cursor=at(7), changed=at(7))
    parts.source.answer(read)
    assert parts.versions.known == (0, 0)
    parts.timers.advance(2.0)
    parts.source.answer(read)
    assert parts.versions.known == (7, 0)


def test_changes_since_an_unanswered_watch_are_asked_for_at_once(watcher):
    """Guards against a change that is missed permanently, or known late."""
    watcher.source.answer(RoutingRead(True, config=make_config(1), cursor=at(7)))
    watcher.timers.advance(0.0)
    watcher.source.answer(RoutingRead(False, reason="timed out"))
    watcher.timers.advance(0.0)
    assert watcher.source.kinds()[1:] == [("watch", 7)] * 2
    assert watcher.source.waits[0] > watcher.source.waits[1] == 0.0
    watcher.source.answer(RoutingRead(False, reason="timed out"))
    watcher.timers.advance(0.2)
    assert len(watcher.source.calls) == 3
    watcher.timers.advance(0.1)
    watcher.source.answer(RoutingRead(True, config=make_config(2), cursor=at(9)))
    watcher.timers.advance(0.0)
    assert watcher.source.kinds()[3:] == [("watch", 7), ("watch", 9)]
    assert watcher.source.waits[-1] > 0.0
    assert [config.version for config in watcher.seen] == [1, 2]


def test_lost_history_leads_to_a_full_read(watcher):
    """Guards against a change that is missed permanently."""
    result = RoutingRead(True)
    watcher.source.answer(RoutingRead(True, config=make_config(1), cursor=at(7)))
    watcher.timers.advance(0.0)
    watcher.source.answer(result)
    watcher.timers.advance(1.0)
    assert watcher.source.kinds()[-1] == ("read", None)


def test_a_read_that_cannot_be_applied_is_made_again():
    """Guards against a watcher that ends with the first fault in a row."""
    faults, seen = [ValueError("bad row")], []

    def on_read(read):
        if faults:
            raise faults.pop()
        seen.append(read.config.version)

    parts = make_watcher(on_read=on_read)
    parts.source.answer(RoutingRead(True, config=make_config(1), cursor=at(7)))
    parts.timers.advance(2.0)
    parts.source.answer(RoutingRead(True, config=make_config(1), cursor=at(7)))
    assert parts.source.kinds() == [("read", None), ("read", None)]
    assert seen == [1]


def test_loss_and_return_of_the_store_are_logged_once_each(watcher):
    """Guards the log against a line for each failed read."""
    for known in (False, False, True):
        watcher.source.answer(RoutingRead(known, cursor=at(1) if known else None))
        watcher.timers.advance(1.0)
    outcomes = [outcome for _kind, outcome, _inputs in watcher.log]
    assert outcomes == ["lost", "reached"]


def test_an_older_configuration_never_replaces_a_newer_one():
    """Guards against a configuration that reverts to an older version."""
    forwarder = Forwarder(context=Scene([]).context)
    assert forwarder.apply_config(make_config(5))
    assert not forwarder.apply_config(make_config(4))
    assert not forwarder.apply_config(make_config(5))
    assert forwarder.config.version == 5


def test_a_version_that_is_given_out_again_is_another_configuration():
    """Guards a change after a restore against an older one of its version."""
    forwarder = Forwarder(context=Scene([]).context)
    steps = [
        (make_config(9), 1, True),
        (make_config(8, routes=()), 2, False),
        (make_config(9), 2, False),
        (make_config(9, routes=()), 2, True),
        (make_config(9), 1, False),
        (make_config(9), 2, False),
        (make_config(12), 2, True),
        (make_config(15), 1, False),
        (make_config(15), 2, True),
    ]
    applied = [forwarder.apply_config(config, era=era) for config, era, _ in steps]
    assert applied == [expected for _config, _era, expected in steps]


def test_without_a_configuration_callers_get_503():
    """Guards against 404 for a route that is not known yet."""
    scene = Scene([make_record()])
    forwarder = Forwarder(context=scene.context)
    replies = [FakeReply(), FakeReply()]
    request = make_request(headers=[(b"Host", b"other")])
    forwarder.accept(request, replies[0])
    forwarder.apply_config(make_config(1))
    forwarder.accept(request, replies[1])
    assert [reply.status for reply in replies] == [503, 404]
    assert replies[0].header(b"Retry-After")


def test_an_unreadable_request_gets_400():
    """Guards against a crash by a header that cannot be parsed."""
    reply = FakeReply()
    forwarder = Forwarder(context=Scene([]).context)
    headers = [(b"Host", b"h"), (DEADLINE, b"soon")]
    forwarder.accept(make_request(headers=headers), reply)
    assert reply.status == 400


def make_follower(changes, timers=None):
    """Return a follower of the registry that records its changes."""
    timers = timers or VirtualTimers()
    return RegistryFollower(
        directory=EndpointDirectory(),
        contact=StoreContact(),
        on_change=changes.append,
        log=LogLines(),
        timers=timers,
        clock=timers.clock,
    )


def test_the_registry_is_read_once_at_a_time_and_loss_is_logged():
    """Guards the store against reads that pile up while it is slow."""
    changes = []
    follower = make_follower(changes)
    parts = make_watcher(table="registry", on_read=follower.apply_read, min_gap=0.3)
    parts.timers.advance(5.0)
    assert len(parts.source.calls) == 1
    parts.source.answer(RegistryRead(True, records=(make_record(),), cursor=at(4)))
    parts.timers.advance(0.1)
    assert len(parts.source.calls) == 1
    parts.timers.advance(0.3)
    parts.source.answer(RegistryRead(False, reason="timed out"))
    parts.timers.advance(0.3)
    assert parts.source.kinds() == [("read", None), ("watch", 4), ("watch", 4)]
    assert parts.log.kinds() == ["registry", "registry"]
    assert follower.log.kinds() == ["endpoint_added"]
    assert len(changes) == 1


def test_endpoints_retained_after_an_outage_go_without_a_further_read():
    """Guards against work for an expired endpoint until the next change."""
    changes, timers = [], VirtualTimers()
    follower = make_follower(changes, timers)
    follower.apply_read(RegistryRead(True, records=(make_record(),)))
    timers.advance(6.0)
    follower.apply_read(RegistryRead(False))
    follower.apply_read(RegistryRead(True, records=()))
    assert not changes[1:]
    timers.advance(2.1)
    assert [record.endpoint_id for record in changes[-1].gone] == ["e1"]
    assert follower.directory.find("s") == ()


def gone_ids(changes):
    """Return the ids of the endpoints that have gone, by change."""
    return [[record.endpoint_id for record in change.gone] for change in changes]


def test_an_endpoint_that_is_missing_after_a_long_watch_is_gone_at_once():
    """Guards against work for an endpoint that left while nothing failed."""
    changes, timers = [], VirtualTimers()
    follower = make_follower(changes, timers)
    follower.apply_read(RegistryRead(True, records=(make_record(),)))
    timers.advance(6.0)
    follower.apply_read(RegistryRead(True, records=()))
    assert gone_ids(changes) == [[], ["e1"]]
    assert follower.directory.find("s") == ()


def test_only_what_the_first_read_after_a_failed_one_lacks_is_retained():
    """Guards against work for an endpoint that leaves soon after an outage."""
    changes, timers = [], VirtualTimers()
    follower = make_follower(changes, timers)
    first, second = make_record("e1"), make_record("e2")
    follower.apply_read(RegistryRead(True, records=(first, second)))
    timers.advance(3.0)
    follower.apply_read(RegistryRead(False))
    follower._recheck()
    follower.apply_read(RegistryRead(True, records=(second,)))
    timers.advance(0.5)
    follower.apply_read(RegistryRead(True, records=()))
    assert gone_ids(changes) == [[], ["e2"]]
    assert follower.directory.find("s") == (first,)
    timers.advance(1.6)
    assert gone_ids(changes) == [[], ["e2"], ["e1"]]


def test_an_endpoint_removed_while_only_a_connection_was_silent_is_gone_at_once():
    """Guards against work for it for as long as for one that may come back."""
    changes, timers = [], VirtualTimers()
    follower = make_follower(changes, timers)
    follower.apply_read(RegistryRead(True, records=(make_record(),)))
    timers.advance(2.0)
    follower.contact.record_peer(0.3, now=timers.now)
    timers.advance(0.8)
    follower.apply_read(RegistryRead(False, reason="timed out"))
    follower.apply_read(RegistryRead(True, records=()))
    assert gone_ids(changes) == [[], ["e1"]]


def test_a_silent_call_has_an_open_watch_asked_again_once(watcher):
    """Guards against a watch that stays on a connection which fell silent."""
    handle_silence = watcher.watcher.handle_silence
    handle_silence()
    assert watcher.source.kinds() == [("read", None)]
    watcher.source.answer(RoutingRead(True, config=make_config(1), cursor=at(7)))
    watcher.timers.advance(0.0)
    handle_silence()
    handle_silence()
    assert watcher.source.cancelled == [1]
    assert watcher.source.kinds()[1:] == [("watch", 7)] * 2
    assert watcher.source.waits[-1] == 0.0


def test_a_newer_version_of_a_peer_ends_an_unanswered_watch(watcher):
    """Guards against a change that is unknown until a long watch ends."""
    watcher.source.answer(
        RoutingRead(True, config=make_config(1), cursor=at(7), changed=at(5))
    )
    watcher.timers.advance(0.0)
    lost_watch = watcher.source.calls[-1][2]
    watcher.versions.handle_peer_versions(ERA, (9, 0))
    watcher.timers.advance(1.0)
    assert watcher.source.kinds() == [("read", None), ("watch", 7), ("watch", 7)]
    assert watcher.source.waits[-1] == 0.0
    assert watcher.source.cancelled == [1]
    watcher.source.answer(
        RoutingRead(True, config=make_config(2), cursor=at(9), changed=at(9))
    )
    lost_watch(RoutingRead(True, config=make_config(3), cursor=at(8)))
    assert [config.version for config in watcher.seen] == [1, 2]
    assert watcher.versions.known == (9, 0)


def test_a_version_that_the_watch_delivers_in_time_leads_to_no_read(watcher):
    """Guards the store against a read by every instance at each change."""
    watcher.source.answer(
        RoutingRead(True, config=make_config(1), cursor=at(7), changed=at(5))
    )
    watcher.timers.advance(0.0)
    watcher.versions.handle_peer_versions(ERA, (9, 0))
    watcher.timers.advance(0.1)
    watcher.source.answer(
        RoutingRead(True, config=make_config(2), cursor=at(9), changed=at(9))
    )
    watcher.timers.advance(1.0)
    assert [kind for kind, _cursor in watcher.source.kinds()] == [
        "read",
        "watch",
        "watch",
    ]


@given(instances=st.integers(1, 400))
def test_a_large_fleet_calls_the_store_no_more_often_than_a_small_one(instances):
    """Guards the store's limit on calls and the latency of changes."""
    pace = make_pace(peers=instances - 1)
    interval = pace.stretch(1.2)
    assert 1.2 <= interval <= 25.0
    # At most the calls per second of three instances, apart from jitter and
    # from fleets whose intervals have reached the limit.
    assert instances / interval <= max(3 / 1.2 / 0.7, instances / (25.0 * 0.7))
