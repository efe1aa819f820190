"""Builders and fakes for the tests of keys."""

from wagtailfront.forwarding.forwarder import Forwarder
from wagtailfront.forwarding.routes import RoutingConfig
from wagtailfront.forwarding.tests.builders import (
    FakeReply,
    Scene,
    make_record,
    make_route,
    make_service,
)
from wagtailfront.forwarding.tests.proxied_pair import ProxiedPair
from wagtailfront.membership.messages import PlacementDigest
from wagtailfront.platform.tests.restored_store import Follower, publish_config
from wagtailfront.platform.tests.wire import tenants
from wagtailfront.serving.caller_limits import CallerLimits
from wagtailfront.serving.request_reader import RequestReader
from wagtailfront.workspaces.keys import KeyedWorkspace, key_digest

__all__ = [
    "KEY",
    "WORKSPACES",
    "KeyedPair",
    "KeyedScene",
    "StrictFleet",
    "make_config",
    "read_headers",
]

KEY = "f75rVqLm02"
OTHER_KEY = "j3nrWwXk77"
WORKSPACES = {
    key_digest(KEY): KeyedWorkspace("hule930", 1),
    key_digest(OTHER_KEY): KeyedWorkspace("mira114"),
}
RECORDS = (make_record("e1"), make_record("e2"))
LIMIT = 5.0  # seconds
DIGEST_INTERVAL = 1.0  # seconds between digests in calm times
DIGEST_DELAY = 0.4  # seconds until a digest that is relayed has arrived


def make_config(route, *, workspaces=WORKSPACES, version=1, is_model=False):
    """Return a configuration with one route."""
    return RoutingConfig(
        version=version,
        routes=(route,),
        services={"s": make_service(is_model=is_model)},
        limits=CallerLimits(),
        workspaces=workspaces,
    )


def read_headers(payload):
    """Return the headers of an encoded request, with names in lower case."""
    lines = payload.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = (line.partition(b":") for line in lines)
    return [(name.strip().lower(), value.strip()) for name, _, value in pairs]


class KeyedScene(Scene):
    """One instance whose configuration has workspaces, in virtual time."""

    def __init__(
        self, route=None, *, records=RECORDS, workspaces=WORKSPACES, **options
    ):
        is_model = options.get("is_model", False)
        super().__init__(list(records), **options)
        self.forwarder = Forwarder(context=self.context)
        config = make_config(
            route or make_route(), workspaces=workspaces, is_model=is_model
        )
        self.forwarder.apply_config(config)

    def send(self, *headers, first_line=b"GET /a HTTP/1.1", rest=b""):
        """Send a caller's request as bytes; return its reply."""
        lines = [first_line, b"Host: h", b"X-Request-Id: r1", *headers, b"", rest]
        reader = RequestReader(max_head=20_000, max_body=20_000)
        reply = FakeReply()
        for request in reader.feed(b"\r\n".join(lines)):
            self.forwarder.accept(request, reply)
        return reply

    @property
    def received(self):
        """Return the headers of the requests that endpoints got."""
        return [read_headers(each.payload) for each in self.pool.exchanges]


class KeyedPair(ProxiedPair):
    """An instance that reaches no endpoint and its peer, both with keys."""

    def __init__(self, route=None, **options):
        super().__init__(route, **options)
        for forwarder in self.forwarders:
            forwarder.apply_config(make_config(self.route, version=2))


class StrictFleet:
    """Instances that follow one store under a strict bound.

    Parameters
    ----------
    size : int
    config_apply : float, optional

    Attributes
    ----------
    deaf : set of Follower
        Instances that are cut from all others.
    """

    def __init__(self, store, size, *, config_apply=3.0):
        self.store = store
        publish_config(store, 1, tenants=tenants(KEY))
        self.size, self.config_apply = size, config_apply
        self.followers = [self._make_follower(seed) for seed in range(size)]
        self.deaf = set()
        self.oldest = 0.0
        for number, follower in enumerate(self.followers):
            self._send_digests(follower, number / size * DIGEST_INTERVAL)

    def _make_follower(self, seed, **options):
        follower = Follower(
            store=self.store,
            peers=self.size - 1,
            seed=seed,
            config_apply=self.config_apply,
            revoke_within=LIMIT,
            **options,
        )
        follower.peer_addresses = {f"a{number}" for number in range(self.size)}
        return follower

    def restart(self, number, **options):
        """Replace an instance by one that knows nothing."""
        follower = self._make_follower(number, **options)
        self.followers[number] = follower
        self._send_digests(follower, 0.0)

    def _send_digests(self, follower, delay):
        def send():
            if follower not in self.followers:
                return
            versions, age = follower.versions, follower.config_age
            digest = PlacementDigest(
                incarnation=follower.address,
                loads=(),
                prompts=(),
                era=versions.era,
                versions=versions.known,
                **age.fields(now=self.store.timers.now, full=True),
            )
            ages = follower.confirmations.ages(now=self.store.timers.now)
            deliver = self.store.timers.after
            deliver(DIGEST_DELAY, lambda: self._deliver(follower, digest, ages))
            self._send_digests(follower, DIGEST_INTERVAL)

        self.store.timers.after(delay, send)

    def _deliver(self, sender, digest, ages):
        now = self.store.timers.now
        for follower in self.followers:
            if follower is not sender and not self.deaf & {follower, sender}:
                versions = follower.versions
                versions.handle_peer_versions(digest.era, digest.versions)
                is_level = versions.is_level(digest.era, digest.versions)
                follower.confirmations.record_peer(ages, is_level=is_level, now=now)
                follower.config_age.merge(digest, now=now)

    def advance(self, seconds, *, step=0.1):
        """Let time pass; `oldest` becomes the largest age since then."""
        self.oldest = 0.0
        for _ in range(round(seconds / step)):
            self.store.timers.advance(step)
            ages = [each.config_age.age() for each in self.followers]
            self.oldest = max(self.oldest, *ages)
