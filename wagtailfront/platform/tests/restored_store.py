"""Store that comes back from older copies, and instances that follow it."""

import functools
import math
import random

import msgspec

from wagtailfront.authority.step_component import StepComponent
from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.registry_follower import RegistryFollower
from wagtailfront.forwarding.store_contact import StoreContact
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.store_watcher import StoreWatcher
from wagtailfront.forwarding.tests.builders import LogLines, Scene, VirtualTimers
from wagtailfront.freshness.confirmations import Confirmations
from wagtailfront.freshness.store_clock import StoreClock
from wagtailfront.platform.store_client import (
    OPERATOR_TABLE,
    REGISTRY_TABLE,
    StoreClient,
    StoreRegistry,
    StoreRouting,
)
from wagtailfront.platform.tests.builders import make_registration, make_row
from wagtailfront.platform.tests.store_pool import StorePool
from wagtailfront.transport.http_exchange import MAX_TRANSFER
from wagtailfront.workspaces.config_age import ConfigAge

LATENCY = 0.004  # seconds
REWRITE_DELAY = 0.3  # seconds
PACKET_BYTES = 16384
BOOT_DIFFERENCE = 40.0  # seconds by which the store's clock is behind others


class DrillStore(StorePool):
    """Store with watches that wait, which goes away and is restored.

    Attributes
    ----------
    rewrite_delay : float
        Seconds until the operator and the engines have written again what
        they had written before a restore.
    is_deaf : bool
        Whether watches get no changes.
    told_ver : int or None
        Version in the answers to watches; the latest one if it is None.
    """

    def __init__(self):
        super().__init__()
        self.is_deaf = False
        self.told_ver = None
        self.timers = VirtualTimers()
        self.clock = lambda: self.timers.now - BOOT_DIFFERENCE
        self.history = [(self.timers.now, self.copy())]
        self.written = {}
        self.watches = []
        self.is_away = False
        self.rewrite_delay = REWRITE_DELAY

    def write(self, table, key, value):
        ver = super().write(table, key, value)
        self.history.append((self.timers.now, self.copy()))
        if not self.is_deaf:
            self.answer_watches()
        return ver

    def answer_watches(self):
        """Let each open watch look for changes."""
        watches, self.watches = self.watches, []
        for watch in watches:
            watch()

    def perform(self, method, path, body):
        status, answer = super().perform(method, path, body)
        if status == 200 and "after" in self.read_query(path):
            answer["ver"] = self.watch_ver
        return status, answer

    @property
    def watch_ver(self):
        """Return the version in the answer to a watch."""
        return self.ver if self.told_ver is None else self.told_ver

    def _changed_rows(self, table, after):
        return [] if self.is_deaf else super()._changed_rows(table, after)

    def publish(self, table, key, value):
        """Write a row of the operator or of an engine."""
        self.written[table, key] = value
        if not self.is_away:
            self.write(table, key, value)

    def drill(self, *, lost, away):
        """Go away and come back from a copy that is `lost` seconds old."""
        self.is_away = True
        self.watches = []
        limit = self.timers.now - lost
        copy = [copy for at, copy in self.history if at <= limit][-1]
        self.timers.after(away, lambda: self._return(copy))

    def _return(self, copy):
        self.is_away = False
        self.restore(copy)
        self.history.append((self.timers.now, self.copy()))
        self.timers.after(self.rewrite_delay, self._write_again)

    def _write_again(self):
        if self.is_away:
            return
        for (table, key), value in self.written.items():
            if self.rows.get((table, key), (None, 0))[0] != value:
                self.write(table, key, value)


class StoreLink:
    """One instance's connections to a DrillStore, behind that of `HttpPool`.

    Attributes
    ----------
    is_cut : bool
        Whether neither calls nor answers arrive.
    is_idle_silent : bool
        Whether the idle connections are silent; a call takes one of them.
    open : list
        Calls that were made.
    bytes_per_second : float
        Rate at which answers arrive, all calls together.
    """

    def __init__(self, *, store, bytes_per_second=math.inf):
        self.store = store
        self.bytes_per_second = bytes_per_second
        self.busy_until = 0.0
        self.is_cut = False
        self.is_idle_silent = False
        self.open = []

    def silence(self):
        """Make all connections that are open now silent for good."""
        self.is_idle_silent = True
        for sink in self.open:
            sink.is_lost = True

    def drop_idle_to(self, host, port):
        self.is_idle_silent = False

    def request(
        self, *, method, path, sink, timeout, stall_timeout=None, body=b"", **options
    ):
        after = self.store.timers.after
        sink = _Once(sink, stall_timeout=stall_timeout)
        self.open = [each for each in self.open if not each.is_done]
        self.open.append(sink)
        sink.deadline = self.store.timers.now + timeout
        self._check_deadline(sink)
        if self.is_cut or self.is_idle_silent:
            return sink
        if self.store.is_away:
            after(LATENCY, lambda: sink.fail("reset"))
            return sink
        call = (method, path, body, sink, self.store.timers.now + timeout)
        after(LATENCY, lambda: self._perform(*call))
        return sink

    def _check_deadline(self, sink):
        left = sink.deadline - self.store.timers.now
        if left <= 0:
            sink.fail("timed out")
        elif not sink.is_done:
            self.store.timers.after(left, lambda: self._check_deadline(sink))

    def _perform(self, method, path, body, sink, deadline):
        store = self.store
        sink.is_lost |= self.is_cut
        if sink.is_lost or sink.is_done:
            return
        if store.is_away:
            sink.fail("reset")
            return
        status, answer = store.perform(method, path, body)
        wait = int(store.read_query(path).get("wait-ms", 0)) / 1000
        if wait and status == 200 and not answer["rows"]:
            call = (method, path, body, sink, deadline)
            store.watches.append(lambda: self._perform(*call))
            store.timers.after(wait, lambda: self._end_watch(sink))
            return
        era = store.era
        store.timers.after(LATENCY, lambda: self._respond(sink, status, answer, era))

    def _end_watch(self, sink):
        if not self.store.is_away:
            told = self.store.told_time()
            answer = {"rows": [], "ver": self.store.watch_ver, **told}
            self._respond(sink, 200, answer, self.store.era)

    def _respond(self, sink, status, answer, era):
        if not self._loses(sink):
            data = msgspec.json.encode(answer)
            headers = {"Store-Era": str(era), "content-length": str(len(data))}
            sink.sink.on_head(status, headers)
            self._send_rest(sink, data)

    def _loses(self, sink):
        """Return whether no more of an answer arrives."""
        sink.is_lost |= self.is_cut
        return sink.is_lost or sink.is_done

    def _send_rest(self, sink, data):
        """Let the next bytes of an answer arrive when the link is free."""
        timers, part = self.store.timers, data[:PACKET_BYTES]
        self.busy_until = max(self.busy_until, timers.now)
        self.busy_until += len(part) / self.bytes_per_second
        wait = self.busy_until - timers.now
        arrive = functools.partial(self._receive, sink, part, data[PACKET_BYTES:])
        if wait:
            timers.after(wait, arrive)
        else:
            arrive()

    def _receive(self, sink, part, rest):
        if self._loses(sink):
            return
        sink.receive(part, now=self.store.timers.now)
        if rest and not sink.is_done:
            self._send_rest(sink, rest)
        elif not sink.is_done:
            sink.is_done = True
            sink.sink.on_end()


class _Once:
    """A sink, and whether it has got a response or one was lost."""

    def __init__(self, sink, *, stall_timeout):
        self.sink = sink
        self.stall_timeout = stall_timeout
        self.begun_at = None
        self.is_done = False
        self.is_lost = False
        self.bytes_received = 0
        self.deadline = 0.0

    def cancel(self):
        self.is_done = True

    def receive(self, data, *, now):
        """Pass on a part of the answer, which moves the time limit."""
        self.bytes_received += len(data)
        if self.stall_timeout is not None:
            self.begun_at = self.begun_at or now
            limit = self.begun_at + MAX_TRANSFER
            self.deadline = min(now + self.stall_timeout, limit)
        self.sink.on_data(data)

    def fail(self, reason):
        if not self.is_done:
            self.is_done = True
            self.sink.on_failure(reason, True)


class Follower:
    """Instance that follows configuration and registry of a DrillStore.

    Parameters
    ----------
    store : DrillStore
    peers : int, optional
        Number of its peers, which determines how long its watches wait.
    seed : int, optional
        Of the variation of these waits.
    bytes_per_second : float, optional
        Rate of its link.
    config_apply : float, optional
        Seconds within which changes must be in force.
    revoke_within : float, optional
        Seconds after which no removed key may be served.

    Attributes
    ----------
    configs : list of int
        Versions of the configurations that it applied.
    routing_arrivals : list of Arrival
        How each of them arrived.
    """

    def __init__(
        self,
        *,
        store,
        peers=0,
        seed=1,
        bytes_per_second=math.inf,
        config_apply=2.0,
        revoke_within=None,
    ):
        self.link = StoreLink(store=store, bytes_per_second=bytes_per_second)
        self.timers = store.timers
        self.log = LogLines()
        self.configs = []
        self.routing_arrivals = []
        self.versions = StoreVersions(tables=("routing", "registry"))
        self.contact = StoreContact()
        self.config_age = None
        store_clock = StoreClock(log=self.log)
        if revoke_within is not None:
            self.config_age = ConfigAge(
                store_clock=store_clock,
                versions=self.versions,
                limit=revoke_within,
                clock=self.timers.clock,
                timer_clock=self.timers.clock,
            )
        self.address = f"a{seed}"
        self.peer_addresses = {f"p{number}" for number in range(peers)}
        self.confirmations = Confirmations(
            tables=self.versions.tables,
            bound=config_apply,
            address=self.address,
            find_live=lambda: self.peer_addresses,
            ages={"routing": self.config_age} if self.config_age else {},
        )
        self.client = StoreClient(
            pool=self.link,
            host="h",
            port=80,
            on_era=self.versions.handle_era,
            on_answer=lambda: self.contact.record_answer(now=self.timers.now),
            on_silence=self._on_silence,
            on_clock=store_clock.record,
            clock=self.timers.clock,
        )
        self.forwarder = Forwarder(context=Scene([]).context)
        self.directory = EndpointDirectory()
        self.follower = RegistryFollower(
            directory=self.directory,
            contact=self.contact,
            on_change=lambda change: None,
            log=self.log,
            timers=self.timers,
            clock=self.timers.clock,
        )
        common = {
            "versions": self.versions,
            "pace": FleetPace(count_peers=lambda: peers, rng=random.Random(seed)),
            "timers": self.timers,
            "log": self.log,
            "clock": self.timers.clock,
            "confirmations": self.confirmations,
            "bound": config_apply,
        }
        self.routing = StoreWatcher(
            table="routing",
            source=StoreRouting(client=self.client),
            on_read=self._apply_routing,
            **common,
        )
        self.registry = StoreWatcher(
            table="registry",
            source=StoreRegistry(client=self.client, log=self.log),
            on_read=self.follower.apply_read,
            min_gap=0.3,
            **common,
        )
        self.routing._on_started(None)
        self.registry._on_started(None)

    def _on_silence(self):
        for watcher in (self.routing, self.registry):
            watcher.handle_silence()

    def _apply_routing(self, read):
        config = read.config
        if config and self.forwarder.apply_config(config, era=read.cursor.era):
            self.configs.append(config.version)
            self.routing_arrivals.append(self.routing.arrival)

    @property
    def config(self):
        """Return the version of the configuration in force."""
        return self.forwarder.config and self.forwarder.config.version

    def usable(self):
        """Return the ids of the endpoints that may get requests."""
        return sorted(record.endpoint_id for record in self.directory.find("s"))


def publish_config(store, version, **changes):
    """Write a configuration as the operator."""
    config = {"version": version, "routes": [], "services": [], **changes}
    value = make_row("config", config).value
    store.publish(OPERATOR_TABLE, "config", value)


def register(store, key, **changes):
    """Write an engine's registration as the engine."""
    registration = make_registration(service="s", **changes)
    store.publish(REGISTRY_TABLE, key, make_row(key, registration).value)


def withdraw(store, key):
    """Remove an engine's registration."""
    store.publish(REGISTRY_TABLE, key, None)


def exchange_versions(followers, *, delay=0.0):
    """Let all instances tell each other what they know of the store.

    Parameters
    ----------
    followers : list of Follower
    delay : float, optional
        Seconds until their reports arrive.
    """
    timers = followers[0].timers
    reports = [
        (
            each.versions.era,
            each.versions.known,
            each.contact.own_age(now=timers.now),
            each.confirmations.ages(now=timers.now),
        )
        for each in followers
    ]

    def arrive():
        for follower in followers:
            for era, versions, age, ages in reports:
                if age is not None:
                    follower.contact.record_peer(age, now=timers.now)
                follower.versions.handle_peer_versions(era, versions)
                follower.confirmations.record_peer(
                    ages,
                    is_level=follower.versions.is_level(era, versions),
                    now=timers.now,
                )

    if delay:
        timers.after(delay, arrive)
    else:
        arrive()


class LeaseOwner(StepComponent):
    """Instance that wants a lease, in virtual time."""

    def __init__(self, *, machine, store):
        self.now = 0.0
        super().__init__(store=store, clock=lambda: self.now)
        self.machine = machine

    def advance(self, now, *, wanted):
        """Step the lease at a time at which it is wanted or not."""
        self.now = now
        if wanted != self.machine.wanted:
            self.perform(self.machine.want(now, wanted))
        self.wake_if_due(now)

    def grant(self):
        """Return the grant at the time of the last step, or None."""
        return self.machine.grant(self.now)

    def on_timer(self):
        self.perform(self.machine.on_time(self.now))

    def on_store_reply(self, tag, reply):
        self.perform(self.machine.on_reply(self.now, tag, reply))
