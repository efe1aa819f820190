"""A forwarding instance with a store and endpoints on real sockets."""

import contextlib
import random
import socket

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.forwarding.tests.scripted_endpoint import ScriptedEndpoint
from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.platform.settings_file import PlatformSettings
from wagtailfront.platform.tests.builders import make_registration
from wagtailfront.platform.tests.row_store import RowStore
from wagtailfront.programs.forward_tree import ForwardSettings, ForwardTree
from wagtailfront.programs.setting_values import HostPort

__all__ = ["REQUEST", "SERVICES", "ForwardSite", "free_port", "read_answer"]

TIMEOUT = 10.0  # seconds
SERVICES = ("s", "t")  # of the endpoints in turn
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n\r\n"
# Below those of outgoing connections.
LISTENING_PORTS = range(10_240, 32_768)
GIVEN_PORTS = set()
PLATFORM = PlatformSettings(config_apply=2.0)


def free_port():
    """Return a port that no connection takes before the test does."""
    for port in random.SystemRandom().sample(LISTENING_PORTS, len(LISTENING_PORTS)):
        if port in GIVEN_PORTS:
            continue
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            GIVEN_PORTS.add(port)
            return port
    raise OSError("no port is free")


def read_answer(connection):
    """Return the status line and the body of a response with a length."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return b"", data
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < length:
        part = connection.recv(65536)
        if not part:
            return b"", body
        body += part
    return head.split(b"\r\n")[0], body


def make_settings(*, platform=PLATFORM, **addresses):
    """Return the settings of an instance with the given addresses."""
    return ForwardSettings(
        instance="i1",
        data_centre="a",
        drain_timeout=8.0,
        registry_gap=0.1,
        platform=platform,
        prefill_share=0.0,
        repeat_share=0.2,
        repeat_slack=50.0,
        repeat_window=10.0,
        max_descriptors=2000,
        **addresses,
    )


class ForwardSite:
    """Store and endpoints, and the settings of an instance.

    Parameters
    ----------
    scripts : list of callable
        Script of each endpoint.
    """

    def __init__(self, scripts):
        self.store = RowStore()
        self.version = 0
        self.endpoints = [ScriptedEndpoint(script) for script in scripts]
        for number, endpoint in enumerate(self.endpoints):
            registration = make_registration(
                address=f"127.0.0.1:{endpoint.port}",
                service=SERVICES[number % len(SERVICES)],
                stage="",
            )
            self.store.write("servers", f"e{number}", registration)
        self.ports = {
            name: free_port() for name in ("callers", "status", "peers", "metrics")
        }
        self.change()

    def change(self, *, limits=None, tenants=None, **route):
        """Write the next version of the configuration."""
        self.version += 1
        fields = {
            "name": "r",
            "host": "h",
            "prefix": "/",
            "kind": "safe",
            "service": SERVICES[0],
            "timeout-ms": 5000,
            "target-latency-ms": 2000,
            **route,
        }
        config = {
            "version": self.version,
            "routes": [fields],
            "services": [{"name": name, "max-connections": 500} for name in SERVICES],
            "limits": limits or {},
        }
        if tenants is not None:
            config["tenants"] = tenants
        self.store.write("op", "config", config)

    @contextlib.contextmanager
    def run_tree(self, *, ports=None, **changes):
        """Run an instance in a thread; yield its ForwardTree and root.

        Parameters
        ----------
        ports : dict of str to int, optional
            By default those of the site.
        changes
            Settings to replace.
        """
        addresses = {
            name: HostPort("127.0.0.1", port)
            for name, port in (ports or self.ports).items()
        }
        settings = make_settings(store=HostPort(*self.store.address), **addresses)
        settings = settings._replace(**changes)
        tree = ForwardTree(settings=settings, log=LogLines())
        root = tree.build()
        with running(root):
            wait_for(lambda: tree.ready()[0] == 200)
            yield tree, root

    def connect(self, ports=None):
        """Return a connection to the instance, or to one with these ports."""
        address = ("127.0.0.1", (ports or self.ports)["callers"])
        return socket.create_connection(address, timeout=TIMEOUT)

    def close(self):
        self.store.close()
        for endpoint in self.endpoints:
            endpoint.close()
