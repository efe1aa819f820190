"""Interfaces of the platform's table service and object store."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

__all__ = [
    "Key",
    "Row",
    "Check",
    "Put",
    "Found",
    "Missing",
    "Rows",
    "Committed",
    "ConditionFailed",
    "Unknown",
    "Unavailable",
    "StoreReply",
    "TableStore",
    "ObjectStore",
]


class Key(NamedTuple):
    """Primary key of a row."""

    partition: str
    sort: str


class Row(NamedTuple):
    """One row of the table; `version` counts its puts from 1."""

    key: Key
    version: int
    value: bytes


class Check(NamedTuple):
    """Condition on a row's version; version 0 means that no row exists."""

    key: Key
    version: int


class Put(NamedTuple):
    """Write of a row on condition that its present version is `expected`.

    The row's version becomes `expected` + 1. After `expires`, in Unix seconds,
    the table may delete the row.
    """

    key: Key
    expected: int
    value: bytes
    expires: int | None = None


@dataclass(frozen=True, kw_only=True)
class Found:
    """The row or object that was read, and the store's era."""

    row: Row
    era: int = field(default=0, compare=False)


@dataclass(frozen=True, kw_only=True)
class Missing:
    """The row or object does not exist in the store's era."""

    era: int = field(default=0, compare=False)


@dataclass(frozen=True, kw_only=True)
class Rows:
    """Rows of a query in ascending order of their sort key."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, kw_only=True)
class Committed:
    """The write took effect in the store's era."""

    era: int = field(default=0, compare=False)


@dataclass(frozen=True, kw_only=True)
class ConditionFailed:
    """A condition did not hold; the write had no effect."""


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """No clear response came; the write may have taken effect or may yet."""

    reason: str


@dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The store rejected the request or was not reached; nothing was written.

    Also the result of a read without a response.
    """

    reason: str


StoreReply = (
    Found | Missing | Rows | Committed | ConditionFailed | Unknown | Unavailable
)
Reply = Callable[[StoreReply], None]


class TableStore(Protocol):
    """Transactional table with versioned rows; replies come by callback."""

    def get(self, *, key: Key, reply: Reply) -> None:
        """Read one row consistently: Found, Missing or Unavailable."""

    def query(self, *, partition: str, after: str, limit: int, reply: Reply) -> None:
        """Read rows with a sort key above `after`: Rows or Unavailable."""

    def transact(
        self,
        *,
        checks: tuple[Check, ...] = (),
        puts: tuple[Put, ...] = (),
        token: str,
        reply: Reply,
    ) -> None:
        """Write all puts if all checks and expected versions hold.

        Committed, ConditionFailed, Unknown or Unavailable. A repeat with
        the same `token` has no second effect.
        """


class ObjectStore(Protocol):
    """Objects by name; replies come by callback."""

    def get(self, *, name: str, reply: Reply) -> None:
        """Read an object: Found, Missing or Unavailable.

        The key of the row in Found is ("object", name).
        """

    def put(self, *, name: str, data: bytes, reply: Reply) -> None:
        """Write an object: Committed, Unknown or Unavailable."""
