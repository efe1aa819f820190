"""Forwarding instance with an endpoint on real sockets, for tests."""

import contextlib
import socket
import time

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.endpoint_pool import EndpointPool
from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.tests.builders import (
    SAFE,
    Scene,
    make_record,
    make_route,
    make_service,
)
from wagtailfront.forwarding.tests.scripted_endpoint import ScriptedEndpoint
from wagtailfront.platform.tests.wire import signed_response as answer
from wagtailfront.serving.caller_limits import CallerLimits
from wagtailfront.serving.connection_server import ConnectionServer
from wagtailfront.transport.timers import Timers

TIMEOUT = 10.0  # seconds
GET = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n\r\n"
POST = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\nTransfer-Encoding: chunked"
    b"\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
LIMITS = CallerLimits(idle_timeout=1.0, head_timeout=0.3)


def make_config(route, *, version=1, limits=LIMITS):
    """Return a configuration with one route."""
    return RoutingConfig(
        version=version,
        routes=(route,),
        services={"s": make_service()},
        limits=limits,
    )


class Instance:
    """Forwarding instance with one scripted endpoint."""

    def __init__(self, script):
        self.endpoint = ScriptedEndpoint(script)
        record = make_record("e1", port=self.endpoint.port)
        scene = Scene([record])
        self.timers = Timers()
        self.pool = EndpointPool(timers=self.timers)
        context = scene.context._replace(
            pool=self.pool, timers=self.timers, clock=time.monotonic
        )
        self.forwarder = Forwarder(context=context)
        self.forwarder.apply_config(make_config(make_route(SAFE, timeout=3.0)))
        self.server = ConnectionServer(
            bind=("127.0.0.1", 0), application=self.forwarder, max_connections=50
        )

    @property
    def components(self):
        return self.timers, self.pool, self.server

    def close(self):
        if self.endpoint.listener.fileno() >= 0:
            self.endpoint.close()

    def connect(self):
        address = ("127.0.0.1", self.server.listener.port)
        return socket.create_connection(address, timeout=TIMEOUT)


@contextlib.contextmanager
def start_instances():
    """Yield a function that starts an Instance with a script."""
    with contextlib.ExitStack() as running_blocks:

        def begin(script):
            instance = Instance(script)
            running_blocks.callback(instance.close)
            running_blocks.enter_context(running(*instance.components))
            return instance

        yield begin


def echo(connection, request_id, request):
    """Answer with the request's id and body."""
    body = request.partition(b"\r\n\r\n")[2]
    connection.sendall(answer(request_id, request_id + b"/" + body))
    return True


def read_until(connection, marks):
    """Read until all marks have arrived or the connection ends."""
    data = b""
    while not all(mark in data for mark in marks):
        part = connection.recv(65536)
        if not part:
            break
        data += part
    return data


def wait_for(condition):
    """Return the first true value of `condition`."""
    limit = time.monotonic() + TIMEOUT
    while time.monotonic() < limit:
        value = condition()
        if value:
            return value
        time.sleep(0.005)
    raise AssertionError("the condition did not become true")
