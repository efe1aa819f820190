"""Interfaces between the forwarder and the platform that it runs on."""

from typing import Any, NamedTuple, Protocol

__all__ = [
    "PromptPart",
    "RequestFields",
    "SendOptions",
    "EndpointNotice",
    "ResponseFields",
    "Dialect",
    "ReplySink",
    "RegistrySource",
    "RegistryRead",
    "InstanceRow",
    "MembershipStore",
    "DigestPart",
    "EngineInquiry",
    "StageOrders",
    "RefusedPartStore",
    "StorePosition",
    "RoutingSource",
    "RoutingRead",
]


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class RequestFields(NamedTuple):
    """Properties of a request from the caller's headers.

    Attributes
    ----------
    request_id : str
    host : str
    time_left : float or None
        Seconds until the caller's deadline; None if it states none.
    model : str
    prompt_tokens, max_output_tokens : int
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    last_event_id : int or None
        Event after which the caller resumes a stream.
    resumes : str or None
        Id of the caller's attempt that got the first event of that stream.
    caller : str
        Names the caller, the same in all its requests; empty if unknown.
    workspace : str or None
        Name of the workspace that it belongs to; None if it has none.
    """

    request_id: str
    host: str
    time_left: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None
    resumes: str | None = None
    caller: str = ""
    workspace: str | None = None

    @property
    def shared_parts(self):
        """Return the ids of the parts that other requests may share."""
        return tuple(part.part_id for part in self.parts[:-1])


class SendOptions(NamedTuple):
    """Properties that an instance adds to a request to an endpoint.

    Attributes
    ----------
    endpoint_id : str
        Incarnation that must handle the request.
    time_left : float
        Seconds.
    priority : int or None
        0 is the most urgent.
    prefill_only : bool
        Prefill the prompt and hold its KV cache instead of running the
        request.
    kv_source : str or None
        Where the endpoint fetches the KV cache of the prompt.
    resume_after : int or None
        Event after which a stream resumes.
    """

    endpoint_id: str
    time_left: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str | None = None
    resume_after: int | None = None


class EndpointNotice(NamedTuple):
    """What an endpoint says of itself in the headers of an answer.

    Attributes
    ----------
    is_leaving : bool
        Whether it takes no new work until it ends.
    retry_after : float or None
        Seconds after which it wants the next request; may be infinite.
    headers : tuple of str
        Headers that say so, for the log.
    unreadable : tuple of str
        Headers that could not be decoded, for the log.
    """

    is_leaving: bool = False
    retry_after: float | None = None
    headers: tuple[str, ...] = ()
    unreadable: tuple[str, ...] = ()


class ResponseFields(NamedTuple):
    """Properties of a response from the endpoint's headers.

    Attributes
    ----------
    request_id : str or None
        Request that it responds to; None if not stated.
    is_signed : bool
        Whether it carries the signature of an endpoint that ran the request.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_encoded : bool
        Whether its body has a content coding, which no caller asked for.
    rate_limit : float or None
        Requests per second that the endpoint takes from all instances
        together; None if it names no limit.
    notice : EndpointNotice
    """

    request_id: str | None
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    rate_limit: float | None = None
    notice: EndpointNotice = EndpointNotice()


class Dialect(Protocol):
    """Header names and formats towards callers and endpoints.

    Attributes
    ----------
    end_to_end : frozenset of bytes
        Names in lower case that never concern only one connection.
    """

    end_to_end: frozenset[bytes]

    def read_request(self, headers) -> RequestFields:
        """Decode a caller's headers; ValueError if one cannot be read."""

    def endpoint_headers(self, headers, options: SendOptions) -> list:
        """Return the headers of a request to an endpoint."""

    def read_response(self, status: int, headers) -> ResponseFields:
        """Decode an endpoint's headers."""

    def read_handle(self, address: str, body: bytes) -> str:
        """Return the KV source in a prefill response.

        Raises
        ------
        ValueError
            If the body is malformed.
        """

    def refusal_headers(self, retry_after: float | None) -> list:
        """Return the headers of a refusal; `retry_after` in seconds."""


class ReplySink(Protocol):
    """The caller's side of one request."""

    def answer(self, status: int, headers, body: bytes) -> None:
        """Send a complete response."""

    def start(self, status: int, headers) -> None:
        """Send the head of a streamed response."""

    def send(self, data: bytes) -> None:
        """Send a part of a streamed response."""

    def finish(self) -> None:
        """End a streamed response as complete."""

    def abort(self) -> None:
        """Close the connection so that the response is seen as incomplete."""


class StorePosition(NamedTuple):
    """Point in the store's history; a later one compares as greater.

    Attributes
    ----------
    era : int
        Rises each time the store comes back from an older copy of itself.
    ver : int
        Version of the store in that era. The next era may contain the same
        versions again, with other changes.
    """

    era: int = 0
    ver: int = 0


class RoutingRead(NamedTuple):
    """Result of a read of the routing configuration.

    Attributes
    ----------
    is_known : bool
        False if the store did not answer.
    config : RoutingConfig or None
        None if there is none or if it has not changed.
    cursor : StorePosition or None
        Where the next watch starts; None if the table is to be read in full.
    reason : str
        Why the store did not answer, or why the table is to be read.
    changed : StorePosition
        Position of the latest change; that of no change has version 0.
    largest_row : int
        Bytes of the largest row in the answer; 0 if it has none.
    """

    is_known: bool
    config: Any = None
    cursor: StorePosition | None = None
    reason: str = ""
    changed: StorePosition = StorePosition()
    largest_row: int = 0


class RoutingSource(Protocol):
    """Source of the routing configuration."""

    def read(self, reply) -> None:
        """Read the configuration; `reply` gets a RoutingRead."""

    def watch(
        self, cursor: StorePosition, wait: float, reply, *, max_bytes: int | None = None
    ) -> Any:
        """Wait up to `wait` seconds for a change after `cursor`.

        Changes that are larger than `max_bytes` are not read: the table is
        to be read in full. Returns the watch. Its attribute `is_arriving`
        tells whether a part of the answer has been received. Its method
        `cancel` ends it, so that `reply` is not called; later calls then use
        other connections.
        """


class RegistryRead(NamedTuple):
    """Result of a read of the endpoints' registrations.

    Attributes
    ----------
    is_known : bool
        False if the store did not answer.
    records : tuple of EndpointRecord, or None
        All endpoints; None if they have not changed.
    cursor, reason, changed
        As of a RoutingRead.
    is_gap : bool
        Whether an endpoint may have come and gone since the last read.
    largest_row : int
        0, as the table has many small rows.
    """

    is_known: bool
    records: tuple | None = None
    cursor: StorePosition | None = None
    reason: str = ""
    changed: StorePosition = StorePosition()
    largest_row: int = 0
    is_gap: bool = False


class RegistrySource(Protocol):
    """Source of the endpoints' registrations."""

    def read(self, reply) -> None:
        """Read all registrations; `reply` gets a RegistryRead."""

    def watch(
        self, cursor: StorePosition, wait: float, reply, *, max_bytes: int | None = None
    ) -> Any:
        """Wait up to `wait` seconds for a change after `cursor`.

        `max_bytes` and the watch are as of a RoutingSource.
        """


class InstanceRow(NamedTuple):
    """Row by which an instance announces itself.

    Attributes
    ----------
    instance : str
    address : str
        Where it listens for its peers.
    version : StorePosition
        Increases with each announcement.
    """

    instance: str
    address: str
    version: StorePosition = StorePosition()


class MembershipStore(Protocol):
    """Store in which instances announce themselves."""

    def announce(self, row: InstanceRow, reply) -> None:
        """Write a row; `reply` gets whether it was written."""

    def read(self, reply) -> None:
        """Read all rows.

        `reply` gets a list of InstanceRow, or None if the read failed.
        """


class RefusedPartStore(Protocol):
    """Store of the prompt parts that are refused."""

    def read(self, reply) -> None:
        """Read the parts; `reply` gets their ids, or None after a failure."""

    def record(self, part: str, reply) -> None:
        """Add a part; `reply` gets whether it was written."""

    def remove(self, part: str, reply) -> None:
        """Remove a part; `reply` gets whether it was removed."""


class DigestPart(Protocol):
    """State that instances tell each other in fields of their digests."""

    def fields(self, *, now: float, full: bool) -> dict:
        """Return the fields of the next digest that this part sets.

        `full` is whether the digest repeats what did not change, which is so
        about once a second.
        """

    def merge(self, digest, *, now: float) -> None:
        """Take what a peer's PlacementDigest says."""


class EngineInquiry(Protocol):
    """Queries to engines outside of callers' requests."""

    def read_cached_parts(self, record, reply) -> None:
        """Read which prompt parts an engine has in its cache.

        `reply` gets a list of PromptPart, or None and the reason of failure.
        """


class StageOrders(Protocol):
    """Orders that change the stage of engines."""

    def order_stage(self, record, stage: str, grant, may_send, reply) -> None:
        """Order an engine to change to the prefill or the decode stage.

        `may_send` is called directly before the order is sent. `reply` gets
        whether the engine accepted the order, and a reason if not.
        """
