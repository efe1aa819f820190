"""Messages between instances and their encoding."""

from typing import Annotated

import msgspec

from wagtailfront.authority.config_log import LogEntry
from wagtailfront.decisions.crash_evidence import ReportItem
from wagtailfront.decisions.part_reports import PartReport
from wagtailfront.exception import ProtocolError

__all__ = [
    "Ping",
    "Pong",
    "Relay",
    "ConfigChange",
    "ConfigFetch",
    "ConfigCopy",
    "CrashReport",
    "PromptPartReport",
    "SlowHint",
    "EngineLoad",
    "LoadDigest",
    "EndpointPending",
    "PlacedPrompt",
    "EndpointRate",
    "BegunStreams",
    "SeenVersions",
    "StreamReport",
    "WindowUsage",
    "ServiceWork",
    "WaitingTokens",
    "WorkspaceWork",
    "PlacementDigest",
    "RelayedReports",
    "Leaving",
    "Message",
    "MAX_MESSAGE_BYTES",
    "MAX_PARTS",
    "MAX_TEXT",
    "encode_message",
    "decode_message",
]

# A configuration of 1,100 engines takes about 200 KB as JSON.
MAX_MESSAGE_BYTES = 1024 * 1024
# All messages but `ConfigCopy`; a log entry has at most 64 KiB as JSON.
MAX_SMALL_MESSAGE_BYTES = 96 * 1024
MAX_NUMBER = 2**53

# The name of an incarnation is a key of the store, of up to 200 bytes, and
# the time of its start.
MAX_TEXT = 256  # characters
MAX_PARTS = 16  # parts of one prompt
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
SignedNumber = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Age = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Count = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class MessageBase(msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True):
    """Base of all messages; the tag is the class name.

    Field names are not sent: pings take most of the 6 KB/s for control while
    the table is down. New fields go to the end and need a default.
    """


class Ping(MessageBase):
    """Request for a peer's version; the nonce identifies this request."""

    nonce: Number
    incarnation: Text
    instance: Text
    address: Text
    data_centre: Text
    version: Number
    leaving: bool = False


class Relay(msgspec.Struct, frozen=True, array_like=True):
    """Roster members that have reported the sender's version to it.

    Attributes
    ----------
    age : float
        Seconds since the oldest ping that one of them answered was sent.
    members : bytes
        Bitmap over the roster's incarnations in ascending order.
    """

    age: Age
    members: Annotated[bytes, msgspec.Meta(max_length=512)]


class Pong(MessageBase):
    """Answer to a ping: the version that the sender has applied."""

    nonce: Number
    incarnation: Text
    instance: Text
    address: Text
    data_centre: Text
    version: Number
    leaving: bool = False
    relays: Annotated[tuple[Relay, ...], msgspec.Meta(max_length=8)] = ()


class ConfigChange(MessageBase):
    """A committed change; the first receiver forwards it once."""

    entry: LogEntry
    forwarded: bool = False


class ConfigFetch(MessageBase):
    """Request for all changes above a version."""

    after: Number


class ConfigCopy(MessageBase):
    """A whole configuration, encoded and checksummed as a snapshot."""

    snapshot: bytes


class CrashReport(MessageBase):
    """All crash evidence of the sender; see `decisions.crash_evidence`."""

    incarnation: Text
    items: Annotated[tuple[ReportItem, ...], msgspec.Meta(max_length=512)]


class PromptPartReport(MessageBase):
    """The sender's evidence on parts that may crash engines."""

    incarnation: Text
    report: PartReport


class SlowHint(MessageBase):
    """Endpoints that were slow for the sender's own requests."""

    incarnation: Text
    endpoints: Annotated[tuple[Text, ...], msgspec.Meta(max_length=512)]


class EngineLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one engine in a digest."""

    engine: Text
    running: Count
    waiting: Count
    queued_prefill_tokens: Count
    age: Age


class LoadDigest(MessageBase):
    """Changed load reports of one group, numbered by its lease holder."""

    group: Text
    fencing_number: Number
    number: Number
    loads: Annotated[tuple[EngineLoad, ...], msgspec.Meta(max_length=512)]


class EndpointPending(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has in progress at one endpoint.

    Attributes
    ----------
    endpoint : str
        Incarnation of the endpoint.
    outstanding : int
        Number of requests.
    pending : tuple of (int, int)
        Priorities, each with its prompt tokens that wait for prefill.
    committed : int
        Tokens of KV cache that its requests there take until they end; 0 from
        a sender that does not count them.
    shared : tuple of (int, int)
        Key and tokens of each part of prompts in use there that other requests
        may use too; `committed` does not contain them.
    """

    endpoint: Text
    outstanding: Number
    pending: Annotated[tuple[tuple[Number, Number], ...], msgspec.Meta(max_length=16)]
    committed: Number = 0
    shared: Annotated[
        tuple[tuple[Number, Number], ...], msgspec.Meta(max_length=64)
    ] = ()


class PlacedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """Shared parts of a prompt that was sent to an endpoint.

    `parts` holds the id and the number of tokens of each part.
    """

    endpoint: Text
    parts: Annotated[
        tuple[tuple[Text, Number], ...], msgspec.Meta(max_length=MAX_PARTS)
    ]


class EndpointRate(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that an endpoint named to the sender.

    Attributes
    ----------
    endpoint : str
        Incarnation of the endpoint.
    rate : float or None
        Requests per second of all instances; None if it names no limit any
        more.
    age : float
        Seconds since it said so.
    """

    endpoint: Text
    rate: Count | None
    age: Age


class BegunStreams(msgspec.Struct, frozen=True, array_like=True):
    """Streams that endpoints of one software version began.

    Attributes
    ----------
    service, software_version : str
    identifiers : bytes
        Of the streams, joined.
    age : float
        Seconds since they began, at most.
    """

    service: Text
    software_version: Text
    identifiers: Annotated[bytes, msgspec.Meta(max_length=32_000)]
    age: Age = 0.0


class SeenVersions(msgspec.Struct, frozen=True, array_like=True):
    """Software versions that the sender saw of a service.

    Attributes
    ----------
    service : str
    watched : float
        Seconds for which the sender has watched the registry.
    versions : tuple of (str, float)
        Each version, and how many seconds ago it was there.
    """

    service: Text
    watched: Age
    versions: Annotated[tuple[tuple[Text, Age], ...], msgspec.Meta(max_length=32)]


class WindowUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests that engines began to run in one usage window.

    Attributes
    ----------
    window : int
        Its number, counted from the start of 1970.
    counts : tuple of (str, int)
        Each workspace that had any, with their number.
    """

    window: Number
    counts: Annotated[tuple[tuple[Text, Number], ...], msgspec.Meta(max_length=2048)]


class ServiceWork(msgspec.Struct, frozen=True, array_like=True):
    """Work that callers brought to the sender since its start.

    Attributes
    ----------
    service : str
    requests : int
    prompt_tokens : int
        Prompt tokens that engines had to prefill, without cached ones.
    stream_tokens : int
        KV cache of all streams in tokens, prompt and output.
    stream_ms : int
        Milliseconds that all streams took at engines, added up.
    refused : int
        Requests refused as no engine could serve them in time.
    """

    service: Text
    requests: Number
    prompt_tokens: Number
    stream_tokens: Number
    stream_ms: Number
    refused: Number


class WaitingTokens(msgspec.Struct, frozen=True, array_like=True):
    """KV cache in tokens for which requests wait at the sender, by level.

    Attributes
    ----------
    service : str
    levels : tuple of (int, int)
        Place in the order of requests, lower first, each with its tokens.
    """

    service: Text
    levels: Annotated[tuple[tuple[Number, Number], ...], msgspec.Meta(max_length=32)]


class WorkspaceWork(msgspec.Struct, frozen=True, array_like=True):
    """Engine time in milliseconds that the sender's requests took lately.

    Attributes
    ----------
    service : str
    work_ms : tuple of (str, int)
        The workspaces that had most, each with its engine time.
    """

    service: Text
    work_ms: Annotated[tuple[tuple[Text, Number], ...], msgspec.Meta(max_length=32)]


class PlacementDigest(MessageBase):
    """Endpoints whose load by the sender changed, and prompts it placed.

    If `is_whole`, it names all endpoints that have load by the sender.
    `address` is where the sender listens, `era` the store's latest era that
    it knows, and `versions` the store's version of the latest change in that
    era, for each table that instances follow. `rates` holds what endpoints
    said of their rate limits, and `streams` those that the sender began.
    `store_age_ms` is how long ago the store last answered the sender, and
    `table_ages_ms` the same by table, None for one that it has not read.
    `proxy` is where it takes requests of peers, in `data_centre`, for all
    services but `lost_services`, which it does not reach itself: empty if it
    takes none, and None if this digest does not say.

    Older builds do not send or read the fields from `table_store_ms` on.
    `table_store_ms` is the store's own clock at its latest answer to the
    sender, by table, in `clock_era`, and `clock_offset_ms` the sender's time
    of day less the store's clock. `usage` holds windows that changed, and
    `usage_sums` those whose sums over all instances have been reported.
    `work` is by service, in `data_centre`. `waiting` is of requests that no
    engine has room for, in every digest while there are any, and
    `workspace_work` by service, in whole digests while requests are refused.
    """

    incarnation: Text
    loads: Annotated[tuple[EndpointPending, ...], msgspec.Meta(max_length=512)]
    prompts: Annotated[tuple[PlacedPrompt, ...], msgspec.Meta(max_length=512)]
    is_whole: bool = False
    address: Text = ""
    versions: Annotated[tuple[Number, ...], msgspec.Meta(max_length=8)] = ()
    rates: Annotated[tuple[EndpointRate, ...], msgspec.Meta(max_length=512)] = ()
    era: Number = 0
    streams: Annotated[tuple[BegunStreams, ...], msgspec.Meta(max_length=512)] = ()
    store_age_ms: Number | None = None
    proxy: Text | None = None
    data_centre: Text = ""
    lost_services: Annotated[tuple[Text, ...], msgspec.Meta(max_length=64)] = ()
    table_ages_ms: Annotated[tuple[Number | None, ...], msgspec.Meta(max_length=8)] = ()
    table_store_ms: Annotated[
        tuple[Number | None, ...], msgspec.Meta(max_length=8)
    ] = ()
    clock_era: Number = 0
    clock_offset_ms: SignedNumber | None = None
    usage: Annotated[tuple[WindowUsage, ...], msgspec.Meta(max_length=64)] = ()
    usage_sums: Annotated[tuple[WindowUsage, ...], msgspec.Meta(max_length=64)] = ()
    work: Annotated[tuple[ServiceWork, ...], msgspec.Meta(max_length=64)] = ()
    waiting: Annotated[tuple[WaitingTokens, ...], msgspec.Meta(max_length=64)] = ()
    workspace_work: Annotated[
        tuple[WorkspaceWork, ...], msgspec.Meta(max_length=64)
    ] = ()


class StreamReport(MessageBase):
    """Streams and software versions, for an instance that has just started."""

    incarnation: Text
    streams: Annotated[tuple[BegunStreams, ...], msgspec.Meta(max_length=512)]
    services: Annotated[tuple[SeenVersions, ...], msgspec.Meta(max_length=512)] = ()


class RelayedReports(MessageBase):
    """Reports of several instances, relayed by one that received them."""

    reports: Annotated[
        tuple[PlacementDigest | CrashReport | PromptPartReport, ...],
        msgspec.Meta(max_length=128),
    ]


class Leaving(MessageBase):
    """The sender accepts no new work from now on."""

    incarnation: Text
    instance: Text


Message = (
    Ping
    | Pong
    | ConfigChange
    | ConfigFetch
    | ConfigCopy
    | CrashReport
    | PromptPartReport
    | SlowHint
    | LoadDigest
    | PlacementDigest
    | StreamReport
    | RelayedReports
    | Leaving
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message):
    """Return a message as msgpack bytes.

    Raises
    ------
    ProtocolError
        If the message is larger than a peer accepts.
    """
    data = ENCODER.encode(message)
    check_size(message, len(data))
    return data


def decode_message(data):
    """Return the message that `encode_message` wrote.

    Raises
    ------
    ProtocolError
        If `data` is too large or not a valid message.

    Examples
    --------
    >>> decode_message(encode_message(ConfigFetch(after=4)))
    ConfigFetch(after=4)
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"message of {len(data)} bytes is too large")
    try:
        message = DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"message is not valid: {error}") from error
    check_size(message, len(data))
    return message


def check_size(message, size):
    is_copy = isinstance(message, ConfigCopy)
    limit = MAX_MESSAGE_BYTES if is_copy else MAX_SMALL_MESSAGE_BYTES
    if size > limit:
        name = type(message).__name__
        raise ProtocolError(f"{name} of {size} bytes is over its limit of {limit}")
