"""Configuration managers, heartbeats and peer buses over real sockets."""

import random
import time

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_manager import ConfigManager, propose
from wagtailfront.authority.config_replica import ConfigReplica
from wagtailfront.authority.tests.config_builders import limit_change, make_member
from wagtailfront.membership.heartbeats import (
    Heartbeats,
    instances_listed,
    start_leaving,
)
from wagtailfront.membership.member_list import ListedInstance
from wagtailfront.membership.member_list_poller import MemberListPoller
from wagtailfront.membership.peer_bus import PeerBus
from wagtailfront.stores.memory import OUTAGE, MemoryObjects, MemoryTable
from wagtailfront.transport.tests.event_loop import EventLoop


class Instance:
    """The components of one instance on its own event loop."""

    def __init__(self, fleet, number):
        self.loop = EventLoop()
        self.bus = PeerBus(address="127.0.0.1:0").register(self.loop)
        member = make_member(number)._replace(address=self.bus.address)
        rng = random.Random(number)
        self.member = member
        self.replica = ConfigReplica(member=member, now=time.monotonic(), random=rng)
        self.heartbeats = Heartbeats(
            member=member, clock=time.monotonic, random=rng
        ).register(self.loop)
        self.manager = self.start_manager(fleet)

    def start_manager(self, fleet):
        return ConfigManager(
            replica=self.replica,
            table=fleet.table,
            objects=fleet.objects,
            clock=time.monotonic,
        ).register(self.loop)


class SocketFleet:
    """Instances in one process whose event loops are run in turn."""

    def __init__(self, size):
        self.table = MemoryTable(clock=time.monotonic)
        self.objects = MemoryObjects(clock=time.monotonic)
        self.instances = []
        for number in range(size):
            self.add(number)

    def add(self, number):
        instance = Instance(self, number)
        self.instances.append(instance)
        listed = [ListedInstance(*other.member[1:], "live") for other in self.instances]
        for other in self.instances:
            other.loop.fire(instances_listed(listed), "*")
        return instance

    def wait_for(self, condition):
        def check():
            self.table.run_due()
            self.objects.run_due()
            for instance in self.instances[1:]:
                instance.loop.step()
            return condition()

        self.instances[0].loop.wait_for(check)

    def all(self, condition):
        return all(condition(instance) for instance in self.instances)

    def close(self):
        for instance in self.instances:
            instance.bus.close()


def test_change_spreads_and_new_instance_serves_without_table():
    """Guards against faulty wiring, which the simulated fleet doesn't have."""
    fleet = SocketFleet(2)
    first, second = fleet.instances
    fleet.wait_for(lambda: fleet.all(lambda one: len(one.replica.config.roster) == 2))
    outcomes = []
    proposal = propose(
        change=limit_change("till", 4),
        base_version=first.replica.config.version,
        author="test",
        reply=outcomes.append,
    )
    first.loop.fire(proposal, "config_keeper")
    fleet.wait_for(lambda: outcomes)
    version = first.replica.config.version
    assert outcomes == [effects.Accepted(version=version)]
    assert second.replica.config.version == version
    fleet.table.default_fault = fleet.objects.default_fault = OUTAGE
    third = fleet.add(2)
    fleet.wait_for(lambda: third.manager.may_dispatch())
    assert third.replica.config == first.replica.config
    fleet.close()


def test_restarted_components_and_leaving_are_noticed():
    """Guards against a component that is restarted without its state."""
    fleet = SocketFleet(2)
    first, second = fleet.instances
    fleet.wait_for(lambda: fleet.all(lambda one: one.replica.config.version > 0))
    first.heartbeats.unregister()
    first.manager.unregister()
    fleet.wait_for(lambda: first.heartbeats.parent is first.heartbeats)
    first.heartbeats = Heartbeats(
        member=first.member, clock=time.monotonic, random=random.Random(7)
    ).register(first.loop)
    first.manager = first.start_manager(fleet)
    fleet.wait_for(lambda: first.heartbeats.config == first.replica.config)
    listed = [ListedInstance(*one.member[1:], "live") for one in fleet.instances]
    first.loop.fire(instances_listed(listed), "*")
    fleet.wait_for(lambda: first.heartbeats.work_targets)
    second.loop.fire(start_leaving(), "*")
    fleet.wait_for(lambda: not first.heartbeats.work_targets)
    fleet.close()


def test_platform_list_is_read_with_its_tag():
    """Guards against using a list that could not be read."""
    loop, asked, lists = EventLoop(), [], []
    poller = MemberListPoller(
        fetch=lambda etag, reply: asked.append((etag, reply)), clock=time.monotonic
    ).register(loop)
    loop.wait_for(lambda: asked)
    poller.fire = lambda event, *channels: lists.append(event.args[0])
    body = (
        b'{"instances": [{"id": "i1", "address": "10.0.0.1:7000",'
        b' "data_centre": "brum", "state": "odd"}]}'
    )
    for status, data in ((500, b""), (304, b""), (200, b"["), (200, body), (304, b"")):
        asked[-1][1](status, '"t"', data)
    assert lists == [(ListedInstance("i1", "10.0.0.1:7000", "brum", "leaving"),)] * 2
    poller._on_poll_list()
    assert asked[-1][0] == '"t"'
