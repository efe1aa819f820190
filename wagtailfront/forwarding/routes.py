"""Table of routes from a host and path prefix to services."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "RequestKind",
    "ServiceShare",
    "Route",
    "Service",
    "CallerLimits",
    "RoutingConfig",
    "RouteTable",
    "choose_service",
]


# Callers leave a stream after the longest of these pauses, by the platform's
# page on requests: seconds, target latencies, and longest pauses on time.
SHORTEST_PATIENCE = 2.0
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8


class RequestKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """Service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests to a host and path prefix are handled.

    Attributes
    ----------
    name, host, prefix : str
    kind : RequestKind
    shares : tuple of ServiceShare
    timeout : float
        Seconds that a caller may be kept waiting.
    target_latency : float
        Seconds to a whole answer, or to the first event of a stream.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Endpoints that one request may run on.
    is_resumable : bool
        Whether a broken stream may go on at another endpoint.
    gap_target : float
        Longest pause between events of a stream that is on time, in s.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    is_resumable: bool
    gap_target: float = 0.0

    @property
    def max_first_event_wait(self):
        """Seconds without an event after which callers leave a stream."""
        return max(
            SHORTEST_PATIENCE,
            PATIENCE_TARGETS * self.target_latency,
            PATIENCE_GAPS * self.gap_target,
        )

    @property
    def may_repeat(self):
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAMING and self.is_resumable
        )


class Service(NamedTuple):
    """A service of endpoints.

    Attributes
    ----------
    name : str
    max_connections : int
        Connections that an endpoint accepts from all callers together.
    is_model : bool
        Whether its endpoints are model engines.
    kv_capacity_tokens : int
        Tokens of cached prompts that an engine holds; 0 for plain services.
    """

    name: str
    max_connections: int
    is_model: bool
    kv_capacity_tokens: int


class CallerLimits(NamedTuple):
    """What callers may send, in bytes, and how long they may take, in s."""

    max_head: int = 16384
    max_body: int = 4 * 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutingConfig(NamedTuple):
    """One version of the routes, services and limits."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits


class RouteTable:
    """Longest-prefix lookup over the routes of a configuration.

    Parameters
    ----------
    routes : iterable of Route

    Examples
    --------
    >>> def route(name, prefix):
    ...     kind = RequestKind.SAFE
    ...     return Route(name, "h", prefix, kind, (), 1, 1, 0, 1, False)
    >>> table = RouteTable([route("a", "/"), route("b", "/x/")])
    >>> [table.find("h", path).name for path in ("/x/y", "/x", "/")]
    ['b', 'a', 'a']
    >>> table.find("other", "/") is None
    True
    """

    def __init__(self, routes):
        self.by_prefix = {(route.host.lower(), route.prefix): route for route in routes}

    def find(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        host = host.lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route, *, rng):
    """Return the name of a service drawn by the route's weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    return rng.choices(names, [share.weight for share in route.shares])[0]
