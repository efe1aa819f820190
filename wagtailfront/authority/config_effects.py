"""Effects and outcomes of the configuration's step machines."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from wagtailfront.outcome import Verdict
from wagtailfront.stores.interfaces import Key, Put

__all__ = [
    "TableGet",
    "TableQuery",
    "TableTransact",
    "ObjectGet",
    "ObjectPut",
    "Send",
    "Reply",
    "Broadcast",
    "Applied",
    "InEffect",
    "Answer",
    "Warn",
    "Accepted",
    "Conflict",
    "Invalid",
    "Pending",
    "Unavailable",
]


class TableGet(NamedTuple):
    """Read of a row; `token` identifies the request in its reply."""

    token: int
    key: Key


class TableQuery(NamedTuple):
    """Read of the rows of a partition above a sort key."""

    token: int
    partition: str
    after: str
    limit: int


class TableTransact(NamedTuple):
    """Transaction; `client_token` makes its retries idempotent."""

    token: int
    puts: tuple[Put, ...]
    client_token: str


class ObjectGet(NamedTuple):
    """Read of an object."""

    token: int
    name: str


class ObjectPut(NamedTuple):
    """Write of an object."""

    token: int
    name: str
    data: bytes


class Send(NamedTuple):
    """Message to the peer at an address."""

    address: str
    message: Any


class Reply(NamedTuple):
    """Message sent back over the connection that a message came from."""

    source: Any
    message: Any


class Broadcast(NamedTuple):
    """Message to all peers, followed by a ping for its acknowledgement."""

    message: Any


class Applied(NamedTuple):
    """A newer configuration has been applied."""

    config: Any


class InEffect(NamedTuple):
    """All versions up to this one are accepted and in effect everywhere."""

    version: int


class Answer(NamedTuple):
    """Outcome of the proposal with this change id."""

    change_id: str
    outcome: Any


class Warn(NamedTuple):
    """Warning for the log."""

    text: str


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change is committed and in effect everywhere."""

    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Others changed the same resources since the base version.

    Attributes
    ----------
    changes : tuple of LogEntry
        The changes to those resources, oldest first.
    """

    changes: tuple
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """The change is not valid for the current configuration."""

    reason: str
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(frozen=True, kw_only=True)
class Pending:
    """The change is committed but not yet in effect.

    Attributes
    ----------
    missing : tuple of str
        Instances that have not acknowledged the version.
    """

    version: int
    missing: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The change could not be committed in time.

    With the verdict `MAY_HAVE_RUN` the write was sent and its result is not
    known; a retry with the same change id determines it.
    """

    reason: str
    verdict: Verdict
