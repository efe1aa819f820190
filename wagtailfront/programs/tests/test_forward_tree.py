"""Tests of a whole forwarding instance, its store and its endpoints."""

import signal
import socket
import threading

import pytest

from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.platform.tests.wire import signed_response
from wagtailfront.programs.tests.forward_site import (
    REQUEST,
    ForwardSite,
    read_answer,
)


def test_both_ports_share_the_memory_of_the_settings(site):
    """Guards the bound against a port with a memory of its own."""
    with site.run_tree() as (tree, _root):
        ports = tree.server, tree.proxy_server
        assert all(port.intake.memory is tree.intake for port in ports)


class HeldAnswers:
    """Endpoint that answers when the test permits it."""

    def __init__(self):
        self.permitted = threading.Event()

    def __call__(self, connection, request_id, request):
        self.permitted.wait(10.0)
        connection.sendall(signed_response(request_id, request_id))
        return True


@pytest.fixture
def hold():
    """Return the script of an endpoint that holds its answers."""
    hold = HeldAnswers()
    yield hold
    hold.permitted.set()


@pytest.fixture
def site(hold):
    """Return a site with one endpoint that holds its answers."""
    hangup = signal.getsignal(signal.SIGHUP)
    site = ForwardSite([hold])
    yield site
    site.close()
    signal.signal(signal.SIGHUP, hangup)


@pytest.mark.parametrize(
    "child",
    [
        "store",
        "routing",
        "registry",
        "peer_bus",
        "load_exchange",
        "refused_parts",
        "stages",
        "status",
        "metrics",
    ],
)
def test_a_component_that_fails_cuts_no_request(site, hold, child):
    """Guards requests in progress against the restart of a watcher."""
    with site.run_tree() as (tree, root), site.connect() as connection:
        connection.sendall(REQUEST % b"r1")
        wait_for(lambda: site.endpoints[0].requests)
        failed = threading.Event()
        tree.timers.after(0.0, lambda: (root.fail_child(child), failed.set()))
        assert failed.wait(5.0)
        hold.permitted.set()
        assert read_answer(connection) == (b"HTTP/1.1 200 OK", b"r1")
        wait_for(lambda: child in root.live)
        site.change()
        wait_for(lambda: tree.forwarder.config.version == site.version)


def test_a_port_that_is_taken_is_not_the_one_for_peers_requests(site):
    """Guards the start of an instance beside other listeners."""
    peers = site.ports["peers"]
    with (
        socket.create_server(("127.0.0.1", peers + 1)),
        site.run_tree() as (tree, _root),
    ):
        port = wait_for(lambda: tree.proxy_server).listener.port
        assert port not in (peers, peers + 1)
        assert tree.make_proxy_offer().address == f"127.0.0.1:{port}"
