"""Entries of the configuration and the configuration itself."""

from typing import Literal, NamedTuple

from wagtailfront.authority.engine_marks import EngineMark, Role

__all__ = [
    "State",
    "NonIdempotentRule",
    "Objective",
    "Service",
    "Engine",
    "Endpoint",
    "Workspace",
    "RosterMember",
    "Configuration",
    "EMPTY",
]

State = Literal["serving", "draining", "withdrawn"]


class NonIdempotentRule(NamedTuple):
    """Calls of a plain service that must not be repeated."""

    methods: tuple[str, ...]
    path_prefix: str


class Objective(NamedTuple):
    """Targets of one class of requests of a service.

    Attributes
    ----------
    request_class : str
        For example "short" or "long".
    latency : float
        Seconds to the first token, or to the complete answer of a plain call.
    latency_share : float
        Share of requests, 0 to 1, that must stay within `latency`.
    availability : float
        Share of requests, 0 to 1, that must be answered.
    """

    request_class: str
    latency: float
    latency_share: float
    availability: float


class Service(NamedTuple):
    """A named set of endpoints that callers address.

    Attributes
    ----------
    min_serving : int or None
        Engines or endpoints that a planned change must leave serving; None
        stands for half of them.
    """

    name: str
    kind: Literal["model", "plain"]
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    min_serving: int | None = None
    non_idempotent: tuple[NonIdempotentRule, ...] = ()
    objectives: tuple[Objective, ...] = ()


class Engine(NamedTuple):
    """A model server; `address` is an IP address and a port."""

    name: str
    service: str
    address: str
    data_centre: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: Role = "mixed"
    checks_fencing: bool = True
    state: State = "serving"


class Endpoint(NamedTuple):
    """A back end of a plain service."""

    name: str
    service: str
    address: str
    data_centre: str
    state: State = "serving"


class Workspace(NamedTuple):
    """Limits of one group of callers.

    Attributes
    ----------
    requests_per_s, burst : float
        Rate and size of the token bucket, in requests.
    queue_share : float
        Largest share of the admission queue, 0 to 1.
    key_digest : str
        SHA-256 of the workspace's API key in hexadecimal, or empty.
    """

    name: str
    requests_per_s: float
    burst: float
    queue_share: float = 1.0
    key_digest: str = ""


class RosterMember(NamedTuple):
    """An instance incarnation that may confirm versions."""

    incarnation: str
    instance: str
    address: str
    data_centre: str


class Configuration(NamedTuple):
    """One version of the configuration; its dicts are never changed.

    Every dict maps a name (the roster: an incarnation) to its entry.

    Attributes
    ----------
    roster_version : int
        Version that last changed the roster.
    previous_roster : dict of str to RosterMember
        The roster before `roster_version`; until that version is in effect,
        instances may still ask this roster for confirmation.
    engine_marks : dict of str to EngineMark
        What each engine runs, and whether a planned change is draining it.
    """

    version: int = 0
    services: dict[str, Service] = {}
    engines: dict[str, Engine] = {}
    endpoints: dict[str, Endpoint] = {}
    workspaces: dict[str, Workspace] = {}
    roster: dict[str, RosterMember] = {}
    roster_version: int = 0
    previous_roster: dict[str, RosterMember] = {}
    engine_marks: dict[str, EngineMark] = {}


EMPTY = Configuration()
