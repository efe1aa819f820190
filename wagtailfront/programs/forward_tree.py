"""Supervisor tree of a forwarding instance."""

import math
import random
import time
from typing import Any, NamedTuple

from wagtailfront.admission.control import AdmissionControl
from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.decisions.crashing_parts import CrashingParts
from wagtailfront.fleet_size.fleet_sizer import FleetSizer
from wagtailfront.fleet_size.work_counts import FleetWork, OwnWork
from wagtailfront.forwarding.begun_streams import StreamMemory
from wagtailfront.forwarding.cache_inquiry import CacheInquiry
from wagtailfront.forwarding.endpoint_directory import EndpointDirectory
from wagtailfront.forwarding.endpoint_health import EndpointHealth
from wagtailfront.forwarding.endpoint_notices import EndpointNotices
from wagtailfront.forwarding.endpoint_pool import EndpointPool, max_idle_connections
from wagtailfront.forwarding.endpoint_reach import EndpointReach
from wagtailfront.forwarding.fleet_load import FleetLoad, ProxyOffer
from wagtailfront.forwarding.fleet_pace import FleetPace
from wagtailfront.forwarding.forward_context import ForwardContext
from wagtailfront.forwarding.forwarder import (
    AttemptBudgets,
    Forwarder,
    PrefixCachesByService,
)
from wagtailfront.forwarding.health_check import ask_health
from wagtailfront.forwarding.interfaces import InstanceRow
from wagtailfront.forwarding.load_exchange import LoadExchange
from wagtailfront.forwarding.peer_proxies import PeerProxies
from wagtailfront.forwarding.proxy_server import ProxyServer
from wagtailfront.forwarding.rate_limits import RateLimits
from wagtailfront.forwarding.refused_parts import RefusedParts
from wagtailfront.forwarding.registry_confirmation import RegistryConfirmation
from wagtailfront.forwarding.registry_follower import RegistryFollower
from wagtailfront.forwarding.shutdown import Shutdown
from wagtailfront.forwarding.stage_manager import StageManager
from wagtailfront.forwarding.status_server import StatusServer
from wagtailfront.forwarding.store_contact import StoreContact
from wagtailfront.forwarding.store_versions import StoreVersions
from wagtailfront.forwarding.store_watcher import StoreWatcher
from wagtailfront.freshness.confirmations import Confirmations
from wagtailfront.freshness.store_clock import StoreClock
from wagtailfront.identifiers import new_id
from wagtailfront.intake.body_memory import BodyMemory
from wagtailfront.intake.descriptors import allow_descriptors
from wagtailfront.intake.intake_memory import IntakeMemory
from wagtailfront.intake.shares import divide_memory
from wagtailfront.intake.usable_memory import usable_memory
from wagtailfront.membership.peer_bus import PeerBus
from wagtailfront.observe.metrics import Metrics
from wagtailfront.platform.engine_client import EngineClient
from wagtailfront.platform.headers import PlatformDialect
from wagtailfront.platform.part_store import StoreRefusedParts
from wagtailfront.platform.paths import READY_PATH
from wagtailfront.platform.store_client import (
    StoreClient,
    StoreRegistry,
    StoreRouting,
)
from wagtailfront.platform.store_membership import StoreMembership
from wagtailfront.platform.store_table import StoreTable
from wagtailfront.programs.forward_duties import make_duties
from wagtailfront.room.room_control import RoomControl
from wagtailfront.serving.connection_server import ConnectionServer
from wagtailfront.transport.http_client import HttpPool
from wagtailfront.transport.supervisor import ChildSpec, Supervisor
from wagtailfront.transport.timers import Timers
from wagtailfront.workspaces.config_age import ConfigAge
from wagtailfront.workspaces.key_check import KeyCheck

__all__ = ["ForwardSettings", "ForwardTree"]

STORE_CONNECT_TIMEOUT = 0.5  # seconds; a few round trips within a region
EVIDENCE_LIFETIME = 60.0  # seconds; longer than callers resend a request
METRICS_PATH = "/metrics"
# Seconds between heartbeats to peers, and until one without an answer shows
# that the connection is silent. Reports that are sent on it are lost.
PEER_HEARTBEAT = 1.0
PEER_SILENCE = 1.5
PEER_READ_INTERVAL = 0.04  # seconds; half of the interval of digests
# File descriptors reserved for endpoints, the store, peers and files.
RESERVED_DESCRIPTORS = 1200
PEER_PORTS = 16  # that the platform keeps free for peers, that of the bus included
MAX_PORT = 65_535
# Seconds after the start in which an instance is not ready, as it cannot tell
# yet how old its configuration is. A restored store takes two of them.
MAX_START_WAIT = 3.0
MAX_PEER_CONNECTIONS = 400  # with requests of peers; of the reserved ones


class ForwardSettings(NamedTuple):
    """Settings of one forwarding instance; addresses are (host, port).

    `platform` is a PlatformSettings.
    """

    instance: str
    data_centre: str
    callers: Any
    status: Any
    store: Any
    peers: Any
    metrics: Any
    drain_timeout: float
    registry_gap: float
    platform: Any
    prefill_share: float
    repeat_share: float
    repeat_slack: float
    repeat_window: float
    max_descriptors: int
    proxy: Any = None


class ForwardTree:
    """Builds the supervisor tree and owns the state that survives restarts.

    Parameters
    ----------
    settings : ForwardSettings
    log : DecisionLog
    """

    def __init__(self, *, settings, log):
        self.settings = settings
        self.log = log
        self.metrics = Metrics()
        self.started_at = time.monotonic()
        self.directory = EndpointDirectory()
        self.timers = Timers()
        self.rng = random.Random()
        self.reach = EndpointReach(
            directory=self.directory,
            timers=self.timers,
            clock=time.monotonic,
            log=log,
            rng=self.rng,
            on_lost=self._on_endpoints_lost,
            on_restored=self._on_endpoints_restored,
        )
        self.pool = EndpointPool(
            timers=self.timers,
            on_connect=self._count_connection,
            max_idle=self._max_idle,
            observer=self.reach,
        )
        self.reach.probe = self.pool.connect
        self.reach.ask = self._ask_endpoint
        self.proxy_pool = EndpointPool(
            timers=self.timers, channel="proxies", max_idle=lambda record: 0
        )
        self.store_clock = StoreClock(log=log)
        self.clock_listeners = []
        self.store_pool = HttpPool(
            channel="store", connect_timeout=STORE_CONNECT_TIMEOUT
        )
        self.store = StoreClient(
            pool=self.store_pool,
            host=settings.store[0],
            port=settings.store[1],
            on_era=self._on_store_era,
            on_answer=lambda: self.contact.record_answer(now=time.monotonic()),
            on_silence=self._on_store_silence,
        )
        self.contact = StoreContact()
        memory = settings.platform.memory_bytes or usable_memory()
        self.intake = IntakeMemory(shares=divide_memory(memory))
        self.watchers = {}
        self.digest_parts = []
        self.work = FleetWork(own=OwnWork(), data_centre=settings.data_centre)
        self.sizes_fleet = "fleet_size" in settings.platform.duties
        if self.sizes_fleet:
            self.digest_parts.append(self.work)
        self.confirmation = None
        self.duties = None
        self.versions = StoreVersions(tables=("routing", "registry"))
        self.config_age = self._make_config_age()
        self.forwarder = self._make_forwarder()
        context = self.forwarder.context
        self.digest_parts += (context.room.waiting, context.admission.workspaces)
        self.engines = EngineClient(
            pool=self.store_pool,
            instance=settings.instance,
            record_rate=context.rate_limits.record_answer,
            record_notice=context.notices.record_answer,
        )
        self.inquiry = CacheInquiry(
            client=self.engines,
            prefix_caches=context.prefix_caches,
            rate_limits=context.rate_limits,
            notices=context.notices,
            log=log,
            rng=context.rng,
        )
        self.server = self.proxy_server = None
        self.confirmations = Confirmations(
            tables=self.versions.tables,
            bound=settings.platform.config_apply,
            address=str(settings.peers),
            find_live=lambda: context.load.live_addresses(now=time.monotonic()),
            ages={"routing": self.config_age} if self.config_age else {},
        )
        self.pace = FleetPace(
            count_peers=lambda: len(context.load.peers), rng=context.rng
        )
        self.follower = RegistryFollower(
            directory=self.directory,
            contact=self.contact,
            on_change=self._on_endpoint_change,
            log=log,
            timers=self.timers,
        )
        self.duties = make_duties(self)
        if self.clock_listeners:
            self.store.on_clock = self._on_store_clock

    def _make_config_age(self):
        """Return the ConfigAge, or None where the age has no bound."""
        if self.settings.platform.revoke_within is None:
            return None
        config_age = ConfigAge(
            store_clock=self.store_clock,
            versions=self.versions,
            limit=self.settings.platform.revoke_within,
        )
        self.digest_parts.append(config_age)
        self.clock_listeners.append(self.store_clock.record)
        return config_age

    def _make_forwarder(self):
        context = self._make_context()
        key_check = KeyCheck(
            dialect=context.dialect,
            log=self.log,
            metrics=self.metrics,
            age=self.config_age,
            may_lack_keys=self._may_lack_keys,
        )
        return Forwarder(
            context=context, key_check=key_check, shares=self.intake.shares
        )

    def _may_lack_keys(self):
        """Return whether the configuration may be older than is allowed."""
        confirmed_at = self.confirmations.confirmed_at["routing"]
        return (
            self.watchers["routing"].reported_at is not None
            or time.monotonic() - confirmed_at > self.settings.platform.config_apply
        )

    def _make_context(self):
        settings = self.settings
        health, rng = EndpointHealth(), self.rng
        load = FleetLoad(
            incarnation=new_id(), address=str(settings.peers), health=health
        )
        return ForwardContext(
            data_centre=settings.data_centre,
            dialect=PlatformDialect(),
            directory=self.directory,
            confirm_registry=lambda reply: self.confirmation.ask(reply),
            health=health,
            reach=self.reach,
            proxies=PeerProxies(
                pool=self.proxy_pool,
                load=load,
                data_centre=settings.data_centre,
                rng=rng,
            ),
            rate_limits=RateLimits(fleet=load, log=self.log),
            notices=EndpointNotices(
                log=self.log, rng=rng, on_leaving=self.pool.drop_idle
            ),
            pool=self.pool,
            body_memory=BodyMemory(
                max_total=self.intake.shares.responses,
                borrowed=lambda: self.intake.excess,
            ),
            timers=self.timers,
            budgets=AttemptBudgets(
                share=settings.repeat_share,
                slack=settings.repeat_slack,
                window=settings.repeat_window,
                started=time.monotonic(),
                count_instances=lambda: load.instances,
            ),
            evidence=CrashEvidence(lifetime=EVIDENCE_LIFETIME),
            crashing_parts=CrashingParts(source=load.incarnation),
            prefix_caches=PrefixCachesByService(),
            load=load,
            streams=StreamMemory(),
            admission=AdmissionControl(count_instances=lambda: load.instances),
            room=RoomControl(load=load, timers=self.timers, clock=time.monotonic),
            log=self.log,
            metrics=self.metrics,
            work=self.work.own,
            clock=time.monotonic,
            rng=rng,
            record_run=self._record_run,
        )

    def _record_run(self, workspace, *, age):
        if self.duties is not None:
            self.duties.record_run(workspace, age=age)

    def build(self):
        """Return the root supervisor.

        A component that fails is restarted with all later ones. Those that
        hold callers' connections come before those that may fail by what the
        store, peers and operators send.
        """
        factories = {
            "timers": lambda: self.timers,
            "endpoints": lambda: self.pool,
            "proxies": lambda: self.proxy_pool,
            "callers": self._make_callers,
            "proxy_server": self._make_proxy_server,
            "departure": self._make_shutdown,
            "store": lambda: self.store_pool,
            "routing": self._make_routing,
            "registry": self._make_registry,
            "peer_bus": self._make_peer_bus,
            "load_exchange": self._make_load_exchange,
            "refused_parts": self._make_refused_parts,
            "stages": self._make_stage_manager,
            "status": self._make_status_server,
        }
        if self.duties is not None:
            factories.update(self.duties.children())
        if self.sizes_fleet and self.duties is not None:
            factories["fleet_size"] = self._make_fleet_sizer
        if self.settings.metrics is not None:
            factories["metrics"] = self._make_metrics_server
        return Supervisor(
            label="forward",
            children=[ChildSpec(name, factory) for name, factory in factories.items()],
        )

    def _make_watcher(self, table, **options):
        self.watchers[table] = StoreWatcher(
            table=table,
            versions=self.versions,
            pace=self.pace,
            timers=self.timers,
            log=self.log,
            confirmations=self.confirmations,
            bound=self.settings.platform.config_apply,
            **options,
        )
        return self.watchers[table]

    def _make_routing(self):
        return self._make_watcher(
            "routing",
            source=StoreRouting(client=self.store),
            on_read=self._apply_routing,
        )

    def _make_registry(self):
        source = StoreRegistry(client=self.store, log=self.log)
        watcher = self._make_watcher(
            "registry",
            source=source,
            on_read=self.follower.apply_read,
            min_gap=self.settings.registry_gap,
        )
        self.confirmation = RegistryConfirmation(
            source=source,
            watcher=watcher,
            versions=self.versions,
            apply_read=self.follower.apply_read,
        )
        return watcher

    def _make_peer_bus(self):
        return PeerBus(
            address=str(self.settings.peers),
            heartbeat=PEER_HEARTBEAT,
            silence=PEER_SILENCE,
            read_interval=PEER_READ_INTERVAL,
        )

    def _make_load_exchange(self):
        context = self.forwarder.context
        return LoadExchange(
            row=InstanceRow(self.settings.instance, str(self.settings.peers)),
            store=StoreMembership(client=self.store, log=self.log),
            load=context.load,
            rate_limits=context.rate_limits,
            prefix_caches=context.prefix_caches,
            evidence=context.evidence,
            crashing_parts=context.crashing_parts,
            streams=context.streams,
            history=self.directory.versions,
            versions=self.versions,
            contact=self.contact,
            confirmations=self.confirmations,
            pace=self.pace,
            find_service=self.directory.find_service,
            make_offer=self.make_proxy_offer,
            parts=self.digest_parts,
            timers=self.timers,
            log=self.log,
        )

    def _make_refused_parts(self):
        refused_parts = RefusedParts(
            crashing_parts=self.forwarder.context.crashing_parts,
            store=StoreRefusedParts(client=self.store, log=self.log),
            pace=self.pace,
            timers=self.timers,
            log=self.log,
        )
        self.versions.era_listeners[refused_parts.channel] = (
            refused_parts.handle_new_era
        )
        return refused_parts

    def _make_stage_manager(self):
        context = self.forwarder.context
        return StageManager(
            incarnation=context.load.incarnation,
            directory=self.directory,
            load=context.load,
            notices=context.notices,
            orders=self.engines,
            table=StoreTable(client=self.store),
            prefill_share=self.settings.prefill_share,
            log=self.log,
        )

    def _make_fleet_sizer(self):
        context = self.forwarder.context
        return FleetSizer(
            is_enabled=self.sizes_fleet,
            find_services=self._find_services,
            directory=self.directory,
            notices=context.notices,
            health=context.health,
            work=self.work,
            hold=self.duties.share_hold("fleet_size"),
            calls=self.duties.calls,
            log=self.log,
            metrics=self.metrics,
        )

    def _find_services(self):
        config = self.forwarder.config
        return {} if config is None else config.services

    def _make_status_server(self):
        return StatusServer(
            bind=self.settings.status,
            pages={READY_PATH: self.ready},
            context=self.forwarder.context,
            memory=self.intake,
        )

    def _make_metrics_server(self):
        return StatusServer(
            bind=self.settings.metrics,
            pages={METRICS_PATH: self.render_metrics},
            context=self.forwarder.context,
            memory=self.intake,
            channel="metrics",
        )

    def _make_callers(self):
        descriptors = allow_descriptors(self.settings.max_descriptors)
        self.server = ConnectionServer(
            bind=self.settings.callers,
            application=self.forwarder,
            max_connections=max(1, descriptors - RESERVED_DESCRIPTORS),
            memory=self.intake,
        )
        return self.server

    def _make_proxy_server(self):
        """Return the server for peers' requests, at the first free address."""
        for bind in self._proxy_addresses():
            try:
                self.proxy_server = ProxyServer(
                    bind=bind,
                    forwarder=self.forwarder,
                    max_connections=MAX_PEER_CONNECTIONS,
                    memory=self.intake,
                )
            except OSError as error:
                self.log.decision("proxy_server", outcome=str(error), port=bind[1])
            else:
                return self.proxy_server
        raise OSError("no port is free for the requests of peers")

    def _proxy_addresses(self):
        """Return where peers' requests may be taken, in order."""
        if self.settings.proxy is not None:
            return [self.settings.proxy]
        host, port = self.settings.peers
        last = min(port + PEER_PORTS, MAX_PORT + 1)
        return [(host, each) for each in range(port + 1, last)] + [(host, 0)]

    def make_proxy_offer(self):
        """Return where peers may send requests, and what is out of reach."""
        address = ""
        if self.proxy_server is not None and not self.server.is_draining:
            host = (self.settings.proxy or self.settings.peers)[0]
            address = f"{host}:{self.proxy_server.listener.port}"
        return ProxyOffer(
            address=address,
            data_centre=self.settings.data_centre,
            lost_services=tuple(sorted(self.reach.lost)),
        )

    def _make_shutdown(self):
        servers = (self.server, self.proxy_server)
        return Shutdown(
            servers=[server for server in servers if server is not None],
            forwarder=self.forwarder,
            timers=self.timers,
            grace=self.settings.drain_timeout,
            log=self.log,
        )

    def _apply_routing(self, read):
        config = read.config
        if config is None:
            return
        applied = self.forwarder.apply_config(config, era=read.cursor.era)
        self.log.decision(
            "configuration",
            outcome="applied" if applied else "kept",
            version=config.version,
            era=read.cursor.era,
            routes=len(config.routes),
            **self.watchers["routing"].arrival._asdict(),
        )
        self.metrics.set("config_version", self.forwarder.config.version)

    def _on_endpoint_change(self, change):
        if self.forwarder.config is not None:
            self.inquiry.ask(change.added)
        for record in (*change.leaving, *change.gone):
            self.pool.drop_idle(record)
        for record in change.gone:
            self.forwarder.context.health.forget(record)
            self.forwarder.context.load.use.forget(record.incarnation)
            self.forwarder.context.rate_limits.forget(record)
            self.forwarder.context.notices.forget(record)
            self.forwarder.context.prefix_caches.forget(record)

    def _on_endpoints_lost(self, records):
        """Close idle connections, which may be silent."""
        for record in records:
            self.pool.drop_idle(record)

    def _on_endpoints_restored(self, records):
        """Use endpoints at once that failed while they were out of reach."""
        for record in records:
            self.forwarder.context.health.forgive(record, now=time.monotonic())

    def _ask_endpoint(self, record):
        """Ask an endpoint for its health on a new connection."""
        service = self.forwarder.config.services.get(record.service)
        if service is not None:
            ask_health(self.pool, record, path=service.health_path, timers=self.timers)

    def _on_store_era(self, era):
        self.log.decision("store_era", outcome="changed", era=era)
        self.versions.handle_era(era)

    def _on_store_clock(self, time):
        for listener in self.clock_listeners:
            listener(time)

    def _on_store_silence(self):
        """Have open watches asked again, as they may be silent too."""
        for watcher in self.watchers.values():
            watcher.handle_silence()
        if self.duties is not None:
            self.duties.true_time.store_clock.record_silence()

    def _max_idle(self, record):
        if self.forwarder.context.notices.is_leaving(record.incarnation):
            return 0
        service = self.forwarder.config.services.get(record.service)
        return max_idle_connections(
            service.max_connections if service else 0,
            self.forwarder.context.load.instances,
        )

    def _count_connection(self):
        self.metrics.count("endpoint_connections_total")

    def ready(self):
        """Return status 200 while new requests are accepted, else 503."""
        is_ready = (
            self.server is not None
            and not self.server.is_draining
            and self.forwarder.config is not None
            and bool(self.directory.records)
            and not self._awaits_config_age()
        )
        return (200 if is_ready else 503), "text/plain", b""

    def _awaits_config_age(self):
        """Return whether keyed work will be served soon after the start."""
        return (
            self.config_age is not None
            and self.forwarder.config.workspaces is not None
            and self.config_age.newest_at == -math.inf
            and time.monotonic() - self.started_at < MAX_START_WAIT
        )

    def render_metrics(self):
        """Return the metrics page."""
        self.metrics.set("requests_in_progress", len(self.forwarder.tasks))
        if self.config_age is not None:
            age = self.config_age.age()
            self.metrics.set("config_age_seconds", -1 if age == math.inf else age)
        self.metrics.set("intake_bytes", self.intake.total)
        if self.server is not None:
            self.metrics.set("reads_waiting", len(self.server.listener.turns.waiting))
        self.metrics.set(
            "rate_limited_endpoints", self.forwarder.context.rate_limits.count_limited()
        )
        if self.duties is not None:
            self.duties.render_metrics()
        notices = self.forwarder.context.notices
        incarnations = (r.incarnation for r in self.directory.records.values())
        self.metrics.set(
            "leaving_endpoints", sum(map(notices.is_leaving, incarnations))
        )
        self.metrics.set("paused_endpoints", notices.count_paused())
        for notice, count in notices.counts.items():
            self.metrics.set("endpoint_notices_total", count, notice=notice)
        return 200, "text/plain; version=0.0.4", self.metrics.render()
