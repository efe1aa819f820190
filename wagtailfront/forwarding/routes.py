"""Table of routes from a host and path prefix to services."""

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from wagtailfront.serving.caller_limits import CallerLimits
from wagtailfront.workspaces.keys import KeyedWorkspace

__all__ = [
    "RequestKind",
    "ServiceShare",
    "Route",
    "Scaling",
    "Service",
    "RoutingConfig",
    "RouteTable",
    "choose_service",
]


# According to the platform's page on requests, callers abandon a stream
# without events after the longest of these times.
MIN_FIRST_EVENT_WAIT = 2.0  # seconds
MAX_WAIT_TARGETS = 4  # multiple of the target latency
MAX_WAIT_GAPS = 8  # multiple of the target gap between events


class RequestKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

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
        Longest time in seconds that a caller may wait.
    target_latency : float
        Target seconds to a complete response, or to a stream's first event.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Endpoints that one request may run on.
    is_resumable : bool
        Whether a broken stream may resume at another endpoint.
    gap_target : float
        Target for the longest gap between events of a stream, in seconds.
    is_public : bool
        Whether its callers need no key of a workspace.
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
    is_public: bool = False

    @property
    def max_first_event_wait(self):
        """Seconds without an event after which callers abandon a request.

        Infinite if the response is not a stream.
        """
        if self.kind is not RequestKind.STREAMING:
            return math.inf
        return max(
            MIN_FIRST_EVENT_WAIT,
            MAX_WAIT_TARGETS * self.target_latency,
            MAX_WAIT_GAPS * self.gap_target,
        )

    def leads_to(self, service):
        """Return whether requests may go to a service, by its name."""
        return any(share.service == service for share in self.shares)

    @property
    def may_repeat(self):
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAMING and self.is_resumable
        )


class Scaling(NamedTuple):
    """How many engines of a service may be ordered, and what they cost.

    Attributes
    ----------
    minimum, maximum : int
        Engines of all kinds in a data centre.
    boot : float
        Seconds from an order until a new engine serves.
    spot_price : float
        Price of an engine that may be reclaimed, relative to any other.
    prices : Mapping of str to float
        Price of an engine per second, by data centre.
    """

    minimum: int
    maximum: int
    boot: float
    spot_price: float
    prices: Mapping[str, float]


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
        KV cache capacity of an engine in tokens; 0 for plain services.
    health_path : str
    transfer_seconds_per_token : float
        Time in which an engine sends a token's KV cache to another one.
    engine_slots : int
        Requests that an engine processes concurrently; 0 if not known.
    scaling : Scaling or None
        None if its engines are not ordered.
    handle_lifetime : float
        Seconds for which an engine holds a prefilled prompt that no other one
        fetches; 0 if not known.
    """

    name: str
    max_connections: int
    is_model: bool
    kv_capacity_tokens: int
    health_path: str = "/health"
    transfer_seconds_per_token: float = 0.0
    engine_slots: int = 0
    scaling: Scaling | None = None
    handle_lifetime: float = 0.0


class RoutingConfig(NamedTuple):
    """One version of the routes, services, limits and workspaces.

    Attributes
    ----------
    version : int
    routes : tuple of Route
    services : Mapping of str to Service
    limits : CallerLimits
    workspaces : Mapping of str to KeyedWorkspace, or None
        By the digest of each key, see `key_digest`; None if requests need no
        key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    workspaces: Mapping[str, KeyedWorkspace] | None = None


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
