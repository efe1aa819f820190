"""An instance that reaches no endpoint, and a peer that sends for it."""

from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.proxy_server import PeerRequests
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.tests.builders import (
    FakeReply,
    Scene,
    make_record,
    make_request,
    make_route,
)
from wagtailfront.membership.messages import PlacementDigest
from wagtailfront.platform.tests.wire import caller_headers
from wagtailfront.serving.caller_limits import CallerLimits
from wagtailfront.serving.request_reader import RequestReader

__all__ = ["ProxiedPair"]

PEER = "10.0.0.2:7395"
RECORDS = (make_record("e1"), make_record("e2"), make_record("e3"))


class ProxiedPair:
    """Two instances in virtual time; messages between them are passed on.

    Parameters
    ----------
    route : Route
    records : list of EndpointRecord, optional
    is_model : bool, optional

    Attributes
    ----------
    near, far : Scene
        The instance of the caller, and the peer.
    """

    def __init__(self, route=None, *, records=RECORDS, is_model=False):
        self.route = route or make_route()
        self.near = Scene(list(records), is_model=is_model)
        self.far = Scene(
            list(records),
            is_model=is_model,
            timers=self.near.timers,
            incarnation="far",
            address="far:7",
        )
        self.forwarders = [self._start(scene) for scene in (self.near, self.far)]
        self.near.reach.lost.add("s")
        self.offer()

    def _start(self, scene):
        forwarder = Forwarder(context=scene.context)
        forwarder.apply_config(
            RoutingConfig(
                version=1,
                routes=(self.route,),
                services={"s": scene.service},
                limits=CallerLimits(),
            )
        )
        return forwarder

    def offer(self, address=PEER, *, lost_services=(), incarnation="far", scene=None):
        """Let an instance, by default the near one, hear of a peer's offer."""
        (scene or self.near).context.load.merge(
            PlacementDigest(
                incarnation=incarnation,
                loads=(),
                prompts=(),
                proxy=address,
                data_centre="dc",
                lost_services=lost_services,
            ),
            now=self.near.timers.now,
        )

    @property
    def to_peer(self):
        """Return the latest exchange with a peer."""
        return self.near.proxies.pool.last

    @property
    def at_endpoint(self):
        """Return the peer's latest exchange with an endpoint."""
        return self.far.pool.last

    def call(self, *, headers=(), body=b"x", **fields):
        """Send a caller's request; return its task and reply."""
        reply = FakeReply()
        request = make_request(
            headers=[*caller_headers(b"r1", **fields), *headers], body=body
        )
        return self.forwarders[0].accept(request, reply), reply

    def deliver(self):
        """Pass the latest request on; return the peer's task and reply."""
        reader = RequestReader(max_head=10_000, max_body=10_000)
        (request,) = reader.feed(self.to_peer.payload)
        reply = FakeReply()
        peer = PeerRequests(forwarder=self.forwarders[1])
        return peer.accept(request, reply), reply

    def answer(self, reply):
        """Pass the peer's complete answer back."""
        assert reply.is_complete
        self.to_peer.respond(reply.status, reply.headers, reply.body)
