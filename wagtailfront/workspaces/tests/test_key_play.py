"""Play of two instances on real sockets that must not show a key."""

import itertools
import logging
import signal
import time
from types import SimpleNamespace

import pytest

from wagtailfront.forwarding import proxied_attempt
from wagtailfront.forwarding.tests.builders import LogLines, make_record, make_route
from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.membership import peer_bus
from wagtailfront.platform.settings_file import PlatformSettings
from wagtailfront.platform.tests.wire import (
    key_line,
    signed_response,
    tenants,
    workspaces_of,
)
from wagtailfront.programs.forward_tree import MAX_START_WAIT, ForwardTree
from wagtailfront.programs.tests.forward_site import (
    ForwardSite,
    free_port,
    make_settings,
    read_answer,
)
from wagtailfront.workspaces.tests.builders import (
    KEY,
    OTHER_KEY,
    WORKSPACES,
    make_config,
    read_headers,
)

STRICT = PlatformSettings(config_apply=2.0, revoke_within=4.0)
REFUSED_FROM = 3.6  # seconds
OPEN_WATCH = 2.0  # seconds in which an open watch of the store is answered
APPLY_SECONDS = 2.0  # within which a change is in force


class KeyPlay:
    """Two instances; the first reaches the endpoint through the other.

    Attributes
    ----------
    seen : list of bytes
        What endpoints and peers got.
    """

    def __init__(self, site, monkeypatch):
        self.site = site
        self.seen = []
        self.ports = [site.ports, {name: free_port() for name in site.ports}]
        self.numbers = itertools.count()
        self._record(monkeypatch, peer_bus, "encode_message")
        self._record(monkeypatch, proxied_attempt, "encode_head")

    def _record(self, monkeypatch, module, name):
        encode = getattr(module, name)

        def record(*arguments):
            data = encode(*arguments)
            self.seen.append(data)
            return data

        monkeypatch.setattr(module, name, record)

    def call(self, instance, *lines):
        """Return the status of a request."""
        number = b"X-Request-Id: q%d" % next(self.numbers)
        head = [b"GET /a HTTP/1.1", b"Host: h", number, *lines, b"", b""]
        with self.site.connect(self.ports[instance]) as connection:
            connection.sendall(b"\r\n".join(head))
            first_line, body = read_answer(connection)
            self.seen.append(b"answer: " + first_line + body)
            return int(first_line.split()[1])

    def wait_until(self, status, key):
        """Wait until both instances answer a key so; return the seconds."""
        started = time.monotonic()
        line = key_line(key)
        wait_for(lambda: self.call(0, line) == self.call(1, line) == status)
        return time.monotonic() - started


@pytest.fixture
def play(monkeypatch):
    """Return a play with an endpoint that answers at once."""
    hangup = signal.getsignal(signal.SIGHUP)

    def answer(connection, request_id, request):
        play.seen.append(request)
        connection.sendall(signed_response(request_id, request_id))
        return True

    site = ForwardSite([answer])
    site.store.rows.clock = time.monotonic
    site.change(tenants=tenants(KEY))
    play = KeyPlay(site, monkeypatch)
    yield play
    site.close()
    signal.signal(signal.SIGHUP, hangup)


def test_keys_take_effect_and_are_shown_nowhere(play, caplog):
    """Guards log, metrics, messages and requests of instances with keys."""
    caplog.set_level(logging.DEBUG)
    site, (_, ports) = play.site, play.ports
    changes = {"instance": "i2", "platform": STRICT}
    with (
        site.run_tree(platform=STRICT) as (first, _root),
        site.run_tree(ports=ports, **changes) as (second, _other_root),
    ):
        first.reach.lost.add("s")
        first.reach.is_lost = lambda service: service == "s"
        wait_for(
            lambda: first.forwarder.context.load.proxy_offers(now=time.monotonic())
        )
        play.wait_until(200, KEY)
        assert [play.call(each) for each in (0, 1)] == [401, 401]
        assert [play.call(each, key_line(OTHER_KEY)) for each in (0, 1)] == [401, 401]
        site.change(tenants=tenants(KEY, OTHER_KEY))
        assert play.wait_until(200, OTHER_KEY) < APPLY_SECONDS
        site.change(tenants=tenants(OTHER_KEY))
        assert play.wait_until(401, KEY) < APPLY_SECONDS
        answer, site.store.answer = site.store.answer, lambda *call: (503, {})
        assert play.call(0, key_line(OTHER_KEY)) == 200
        assert play.wait_until(503, OTHER_KEY) < REFUSED_FROM + OPEN_WATCH
        site.store.answer = answer
        play.wait_until(200, OTHER_KEY)
        shown = [*play.seen, caplog.text.encode()]
        for tree in (first, second):
            shown += [repr(list(tree.log)).encode(), tree.render_metrics()[2]]
    requests = [each for each in play.seen if each.startswith(b"GET")]
    assert any(b"Proxy-Workspace: hule930" in each for each in requests)
    assert all(workspaces_of(read_headers(each)) == [b"hule930"] for each in requests)
    for data in shown:
        assert KEY.encode() not in data and OTHER_KEY.encode() not in data
    assert b'keyed_refusals_total{reason="old_configuration"}' in b"".join(shown)


@pytest.mark.parametrize("workspaces", [WORKSPACES, None])
def test_an_instance_is_ready_when_it_can_check_keys(workspaces):
    """Guards against keyed requests in the first seconds of an instance."""
    names = ("store", "callers", "status", "peers", "metrics")
    addresses = dict.fromkeys(names, ("127.0.0.1", 1))
    settings = make_settings(**addresses)._replace(platform=STRICT)
    tree = ForwardTree(settings=settings, log=LogLines())
    tree.server = SimpleNamespace(is_draining=False)
    tree.directory.replace([make_record()], now=0.0)
    tree.forwarder.apply_config(make_config(make_route(), workspaces=workspaces))
    assert tree.ready()[0] == (200 if workspaces is None else 503)
    tree.config_age.newest_at = tree.config_age.clock()
    assert tree.ready()[0] == 200
    tree.config_age.newest_at = float("-inf")
    tree.started_at -= MAX_START_WAIT
    assert tree.ready()[0] == 200
