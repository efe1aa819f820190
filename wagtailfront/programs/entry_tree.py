"""Supervisor tree of an entry instance."""

import random
import time
from typing import Any, NamedTuple

from wagtailfront.authority.config_manager import ConfigManager
from wagtailfront.authority.config_replica import ConfigReplica
from wagtailfront.authority.config_state import RosterMember
from wagtailfront.authority.drain_marks import DrainMarks
from wagtailfront.authority.freshness import Freshness
from wagtailfront.authority.group_manager import GroupManager
from wagtailfront.callers.caller_server import CallerServer
from wagtailfront.callers.claim_manager import ClaimManager
from wagtailfront.callers.dispatcher import Dispatcher
from wagtailfront.callers.policy_scheduler import PolicyScheduler
from wagtailfront.callers.slow_hints import SlowHints
from wagtailfront.endpoints.endpoint_guard import EndpointGuard
from wagtailfront.endpoints.engine_port import EnginePort
from wagtailfront.endpoints.load_reporter import LoadReporter
from wagtailfront.identifiers import new_id
from wagtailfront.intake.body_memory import BodyMemory
from wagtailfront.intake.descriptors import allow_descriptors
from wagtailfront.intake.intake_memory import IntakeMemory
from wagtailfront.intake.shares import divide_memory
from wagtailfront.intake.usable_memory import usable_memory
from wagtailfront.membership.heartbeats import Heartbeats, member_broadcast
from wagtailfront.membership.member_list_poller import MemberListPoller
from wagtailfront.membership.peer_bus import PeerBus
from wagtailfront.observe.metrics import Metrics
from wagtailfront.observe.request_observer import RequestObserver
from wagtailfront.operators import burn_rate
from wagtailfront.operators.operator_server import (
    EndpointStatus,
    InstanceStatus,
    OperatorServer,
)
from wagtailfront.programs.health import Health
from wagtailfront.programs.shutdown import Shutdown
from wagtailfront.stores.object_client import ObjectClient
from wagtailfront.stores.table_client import TableClient
from wagtailfront.transport.http_client import HttpPool, WholeResponse
from wagtailfront.transport.server_limits import ServerLimits
from wagtailfront.transport.supervisor import ChildSpec, Supervisor

__all__ = ["EntrySettings", "EntryTree", "boot_clock"]

INSTANCE_LIST_TIMEOUT = 2.0  # seconds
MAX_DESCRIPTORS = 4096
# For operators, engines, endpoints, the platform, peers and files.
RESERVED_DESCRIPTORS = 2096
# TCP drops bytes of an order that were not acknowledged within this time, so
# that none arrives after the first order of the next lease holder.
ORDER_USER_TIMEOUT_MS = 3000


class EntrySettings(NamedTuple):
    """Settings of one entry instance; addresses are (host, port).

    Attributes
    ----------
    memory : int or None
        Bytes that the process may take; by default those of the machine.
    """

    instance: str
    data_centre: str
    callers: Any
    operators: Any
    peers: Any
    table: Any
    objects: Any
    instance_list: Any
    operator_tokens: Any
    bus_keys: Any = None
    caller_context: Any = None
    operator_context: Any = None
    serve_unconfirmed_for: float = 0.0
    drain_grace: float = 1.0
    drain_timeout: float = 30.0
    memory: int | None = None


def boot_clock():
    """Return seconds since boot, including time in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _ComponentProxy:
    """Delegates to the current object of a component that may restart."""

    def __init__(self, components, name):
        self._components = components
        self._name = name

    def __getattr__(self, item):
        return getattr(self._components[self._name], item)


class EntryTree:
    """Builds the supervisor tree and owns the state that survives restarts.

    Parameters
    ----------
    settings : EntrySettings
    """

    def __init__(self, *, settings):
        self.settings = settings
        self.components = {}
        self.random = random.Random()
        self.member = RosterMember(
            incarnation=new_id(),
            instance=settings.instance,
            address=str(settings.peers),
            data_centre=settings.data_centre,
        )
        freshness = Freshness(
            member=self.member, serve_unconfirmed_for=settings.serve_unconfirmed_for
        )
        self.replica = ConfigReplica(
            member=self.member,
            now=boot_clock(),
            random=self.random,
            freshness=freshness,
        )
        self.metrics = Metrics()
        memory = settings.memory or usable_memory()
        self.intake = IntakeMemory(shares=divide_memory(memory))
        self.responses = BodyMemory(
            max_total=self.intake.shares.responses,
            borrowed=lambda: self.intake.excess,
        )
        self.scheduler = PolicyScheduler(
            instance=settings.instance, data_centre=settings.data_centre
        )
        self.observer = RequestObserver(
            metrics=self.metrics, service_of=self._service_of
        )
        self.health = Health(
            metrics=self.metrics,
            may_dispatch=self.may_dispatch,
            read_config=lambda: self.replica.config,
            components=self.components,
            intake=self.intake,
        )

    def may_dispatch(self, now=None):
        """Return whether requests may be dispatched to endpoints now.

        `now` is ignored, since the replica counts in `boot_clock` seconds.
        """
        return self.replica.may_dispatch(boot_clock())

    def proxy(self, name):
        """Return a proxy for a component that may be restarted."""
        return _ComponentProxy(self.components, name)

    def build(self):
        """Return the root supervisor."""
        groups = {
            "platform": {"table": self._make_table, "objects": self._make_objects},
            "membership": {
                "peer_bus": self._make_peer_bus,
                "heartbeats": self._make_heartbeats,
                "member_list": self._make_member_list,
            },
            "endpoints": {
                "pool": self._make_pool,
                "order_pool": self._make_order_pool,
                "load_reporter": self._make_load_reporter,
                "guard": self._make_guard,
            },
            "authority": {
                "config_keeper": self._make_config_manager,
                "groups": self._make_groups,
            },
            "callers": {
                "claims": self._make_claims,
                "slow_hints": self._make_slow_hints,
                "dispatcher": self._make_dispatcher,
                "callers": self._make_callers,
                "operators": self._make_operators,
            },
        }
        children = [
            ChildSpec(label, self._supervisor_factory(label, factories))
            for label, factories in groups.items()
        ]
        return Supervisor(
            label="entry",
            children=[*children, ChildSpec("shutdown", self._make_shutdown)],
        )

    def _supervisor_factory(self, label, factories):
        children = [
            ChildSpec(name, self._recording_factory(name, factory))
            for name, factory in factories.items()
        ]
        return lambda: Supervisor(label=label, children=children)

    def _recording_factory(self, name, factory):
        def make():
            self.components[name] = factory()
            return self.components[name]

        return make

    def _make_table(self):
        return TableClient(address=self.settings.table)

    def _make_objects(self):
        return ObjectClient(address=self.settings.objects)

    def _make_peer_bus(self):
        return PeerBus(address=str(self.settings.peers), keys=self.settings.bus_keys)

    def _make_heartbeats(self):
        return Heartbeats(member=self.member, clock=boot_clock, random=self.random)

    def _make_member_list(self):
        return MemberListPoller(fetch=self._fetch_list, clock=boot_clock)

    def _fetch_list(self, *, etag, reply):
        def on_done(status, headers, body):
            if status is None:
                reply(0, None, b"")
            else:
                reply(status, headers.get("ETag"), body)

        sink = WholeResponse(on_done)
        host, port = self.settings.instance_list
        sink.exchange = self.components["pool"].request(
            host=host,
            port=port,
            method="GET",
            path="/instances",
            headers=[("If-None-Match", etag)] if etag else [],
            sink=sink,
            timeout=INSTANCE_LIST_TIMEOUT,
        )

    def _make_config_manager(self):
        return ConfigManager(
            replica=self.replica,
            table=self.proxy("table"),
            objects=self.proxy("objects"),
            clock=boot_clock,
        )

    def _make_groups(self):
        return GroupManager(
            incarnation=self.member.incarnation,
            table=self.proxy("table"),
            engines=EnginePort(
                order_pool=self.proxy("order_pool"),
                reporter=self.proxy("load_reporter"),
                read_engine_entry=lambda name: self.replica.config.engines.get(name),
                clock=boot_clock,
            ),
            marks=DrainMarks(
                replica=self.replica,
                propose=self._propose,
                author=self.settings.instance,
            ),
            clock=boot_clock,
        )

    def _make_order_pool(self):
        return HttpPool(channel="order_pool", user_timeout_ms=ORDER_USER_TIMEOUT_MS)

    def _held_engines(self):
        groups = self.components.get("groups")
        return {} if groups is None else groups.held_engines()

    def _make_pool(self):
        return HttpPool()

    def _make_load_reporter(self):
        return LoadReporter(
            pool=self.proxy("pool"),
            held_engines=self._held_engines,
            broadcast=self._broadcast,
        )

    def _make_guard(self):
        return EndpointGuard(
            pool=self.proxy("pool"), incarnation=self.member.incarnation
        )

    def _broadcast(self, message):
        self.components["load_reporter"].fire(member_broadcast(message), "*")

    def _make_claims(self):
        return ClaimManager(table=self.proxy("table"), objects=self.proxy("objects"))

    def _make_slow_hints(self):
        return SlowHints(scheduler=self.scheduler, incarnation=self.member.incarnation)

    def _make_dispatcher(self):
        dispatcher = Dispatcher(
            scheduler=self.scheduler,
            pool=self.proxy("pool"),
            claims=self.proxy("claims"),
            guard=self.proxy("guard"),
            observer=self.observer,
            may_dispatch=self.may_dispatch,
            responses=self.responses,
        )
        self.scheduler.configure(self.replica.config)
        return dispatcher

    def _make_callers(self):
        connections = allow_descriptors(MAX_DESCRIPTORS) - RESERVED_DESCRIPTORS
        return CallerServer(
            bind=self.settings.callers,
            dispatcher=self.proxy("dispatcher"),
            context=self.settings.caller_context,
            limits=ServerLimits(max_connections=max(1, connections)),
            pages=self.health.pages(),
            memory=self.intake,
            metrics=self.metrics,
        )

    def _make_operators(self):
        return OperatorServer(
            bind=self.settings.operators,
            tokens=self.settings.operator_tokens,
            propose=self._propose,
            read_status=self.read_status,
            read_burns=self.read_burns,
            pages=self.health.pages(),
            context=self.settings.operator_context,
            memory=self.intake,
            metrics=self.metrics,
        )

    def _propose(self, **proposal):
        """Pass a proposed change to the current ConfigManager."""
        self.components["config_keeper"].propose(**proposal)

    def _make_shutdown(self):
        return Shutdown(
            health=self.health,
            get_components=lambda: (
                self.components["dispatcher"],
                self.components["callers"],
            ),
            grace=self.settings.drain_grace,
            timeout=self.settings.drain_timeout,
        )

    def _service_of(self, task):
        """Return the name of a request's service, from the configuration."""
        config = self.replica.config
        call = getattr(task, "call", None)
        if call is not None:
            return call.service if call.service in config.services else "unknown"
        model = task.request.model
        names = (
            service.name
            for service in config.services.values()
            if model in service.models or model in service.adapters
        )
        return next(names, "unknown")

    def read_status(self):
        """Return the status of this instance for operators."""
        return InstanceStatus(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            confirmed=self.may_dispatch(),
            configuration=self.replica.config,
            endpoints=tuple(self._endpoint_statuses()),
            leases=tuple(sorted(self.components["groups"].held_groups())),
        )

    def _endpoint_statuses(self):
        loads = self.components["load_reporter"].loads
        now = time.monotonic()
        steps = self.components["groups"].change_steps()
        ejected = self.scheduler.ejected()
        for name in self.replica.config.engines:
            load, reported_at = loads.get(name, (None, None))
            yield EndpointStatus(
                name=name,
                running=0 if load is None else load.running,
                waiting=0 if load is None else load.waiting,
                report_age=None if load is None else now - reported_at,
                ejected=name in ejected,
                change_step=steps.get(name, ""),
            )
        for name in self.replica.config.endpoints:
            yield EndpointStatus(name=name, ejected=name in ejected)

    def read_burns(self):
        """Return the current burn rates of this instance's requests."""
        return burn_rate.measure(
            self.observer.recent,
            self.replica.config.services.values(),
            now=time.monotonic(),
        )
