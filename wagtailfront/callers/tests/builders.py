"""Builders of stand-ins, configurations and instances for tests."""

import contextlib
import threading
import time

from circuits import BaseComponent

from wagtailfront.authority.config_state import (
    EMPTY,
    Batch,
    Endpoint,
    Engine,
    NonIdempotentRule,
    PutEndpoint,
    PutEngine,
    PutService,
    Service,
    apply_change,
)
from wagtailfront.callers.caller_server import CallerServer
from wagtailfront.callers.claim_interface import NoClaims
from wagtailfront.callers.dispatcher import Dispatcher
from wagtailfront.callers.policy_scheduler import PolicyScheduler
from wagtailfront.endpoints.endpoint_guard import EndpointGuard
from wagtailfront.standins.engine import EngineSettings, StandinEngine
from wagtailfront.transport.http_client import HttpPool
from wagtailfront.transport.supervisor import make_root

START_TIMEOUT = 10.0  # seconds
ANY_PORT = ("127.0.0.1", 0)


class VerdictRecorder:
    """Observer that records the verdicts of finished requests."""

    def __init__(self):
        self.verdicts = []

    def request_started(self, task, now):
        pass

    def request_finished(self, task, verdict, now):
        self.verdicts.append(verdict)


@contextlib.contextmanager
def running(*components):
    """Run components in a thread of their own until the block ends."""
    root = make_root(BaseComponent())
    for component in components:
        component.register(root)
    thread = threading.Thread(target=root.run, daemon=True)
    thread.start()
    limit = time.monotonic() + START_TIMEOUT
    while not root.running and time.monotonic() < limit:
        time.sleep(0.001)
    try:
        yield root
    finally:
        root.stop()
        thread.join(START_TIMEOUT)


def make_engine(number):
    """Return a fast stand-in engine on a free port."""
    return StandinEngine(
        bind=ANY_PORT,
        model="recipe-large",
        version="1",
        settings=EngineSettings(step=0.002),
        channel=f"engine-{number}",
    )


def make_configuration(engines, services):
    """Return a configuration that names running stand-ins."""
    changes = [
        PutService(
            service=Service("desk-assist", "model", models=("recipe-large",)),
        ),
        PutService(
            service=Service(
                "member-ledger",
                "plain",
                non_idempotent=(NonIdempotentRule(("PUT",), "/slots"),),
            )
        ),
    ]
    changes += [
        PutEngine(
            engine=Engine(
                name=f"engine-{number}",
                service="desk-assist",
                address=f"127.0.0.1:{engine.server.port}",
                data_centre="brum",
                model=engine.model,
                version=engine.version,
            )
        )
        for number, engine in enumerate(engines)
    ]
    changes += [
        PutEndpoint(
            endpoint=Endpoint(
                name=f"ledger-{number}",
                service="member-ledger",
                address=f"127.0.0.1:{service.server.port}",
                data_centre="brum",
            )
        )
        for number, service in enumerate(services)
    ]
    return apply_change(EMPTY, Batch(changes=tuple(changes)))


class Instance:
    """Caller side of an entry instance, without platform and peers."""

    def __init__(self, config, *, claims=None):
        self.pool = HttpPool()
        self.observer = VerdictRecorder()
        self.guard = EndpointGuard(pool=self.pool, incarnation="i-1")
        self.dispatcher = Dispatcher(
            scheduler=PolicyScheduler(),
            pool=self.pool,
            claims=claims or NoClaims(),
            guard=self.guard,
            observer=self.observer,
        )
        self.dispatcher.scheduler.configure(config)
        self.callers = CallerServer(bind=ANY_PORT, dispatcher=self.dispatcher)

    @property
    def components(self):
        return (self.pool, self.guard, self.dispatcher, self.callers)

    @property
    def port(self):
        return self.callers.server.port
