"""Log of configuration changes and the part of it that is applied."""

from typing import Annotated, NamedTuple

import msgspec
import xxhash

from wagtailfront.authority.config_state import (
    EMPTY,
    Change,
    apply_change,
    resources_touched,
)
from wagtailfront.decoding import decode_json
from wagtailfront.exception import ConfigurationError
from wagtailfront.stores.interfaces import Key, Put

__all__ = [
    "PARTITION",
    "HEAD",
    "MAX_ENTRY_BYTES",
    "LogEntry",
    "CommitRequest",
    "change_key",
    "encode_entry",
    "decode_entry",
    "commit_request",
    "ConfigLog",
    "conflicts",
]

PARTITION = "config"
HEAD = Key(PARTITION, "head")
# The row must fit the table's limit of 400 KB and a message of the peer bus.
MAX_ENTRY_BYTES = 64 * 1024
VERSION_DIGITS = 12
MAX_VERSION = 10**VERSION_DIGITS - 1

# Two days of changes at 990 a day; older ones are read from the table.
RETAINED_ENTRIES = 2_000
# Entries that wait for their predecessors; a larger gap is fetched.
MAX_BUFFERED_ENTRIES = 200

ShortText = Annotated[str, msgspec.Meta(max_length=128)]


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One committed change.

    Attributes
    ----------
    version : int
        The version that the change made.
    change_id : str
        Random; shows whose change got a version if the reply was lost.
    author : str
        The operator, or the instance for roster changes.
    """

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_VERSION)]
    change_id: ShortText
    author: ShortText
    change: Change


class CommitRequest(NamedTuple):
    """Arguments of the transaction that commits an entry."""

    puts: tuple[Put, Put]
    token: str


def change_key(version):
    """Return the key of the row of the change that made `version`.

    Examples
    --------
    >>> change_key(7).sort
    'change/000000000007'
    """
    return Key(PARTITION, f"change/{version:0{VERSION_DIGITS}}")


def encode_entry(entry):
    """Return an entry as JSON bytes."""
    return msgspec.json.encode(entry)


def decode_entry(data):
    """Return the entry that `encode_entry` wrote.

    Raises
    ------
    ProtocolError
        If `data` is not such JSON.
    """
    return decode_json(data, LogEntry)


def commit_request(entry, *, salt=""):
    """Return the transaction that commits `entry`.

    Requests with different salts are different for the table, which may
    remember the token of a commit that a restore has undone.

    The head's row version is the configuration's version, so the put of the
    head fails unless the previous version is the newest. A retry of the same
    request cannot take effect twice, since the first one raised the head.

    Examples
    --------
    >>> from wagtailfront.authority.config_state import DeleteWorkspace
    >>> change = DeleteWorkspace(name="kiosk")
    >>> entry = LogEntry(version=3, change_id="c1", author="op", change=change)
    >>> [put.expected for put in commit_request(entry).puts]
    [2, 0]
    """
    head = Put(HEAD, entry.version - 1, entry.change_id.encode())
    change = Put(change_key(entry.version), 0, encode_entry(entry))
    # The table's protocol allows tokens of at most 36 characters.
    text = f"{entry.change_id}.{entry.version}{salt}"
    token = xxhash.xxh3_128_hexdigest(text.encode())
    return CommitRequest((head, change), token)


class ConfigLog:
    """Applied configuration and its most recent changes.

    Versions are applied in ascending order, whatever the order and number
    of copies in which they arrive.

    Parameters
    ----------
    config : Configuration
    retained : int
        Number of applied changes retained for conflict checks and peers.

    Examples
    --------
    >>> from wagtailfront.authority.config_state import PutService, Service
    >>> service = Service(name="member-ledger", kind="plain")
    >>> change = PutService(service=service)
    >>> entry = LogEntry(version=1, change_id="c", author="a", change=change)
    >>> log = ConfigLog()
    >>> [len(log.add(entry)), len(log.add(entry)), log.version]
    [1, 0, 1]
    """

    def __init__(self, *, config=EMPTY, retained=RETAINED_ENTRIES):
        self.config = config
        self.retained = retained
        self.applied = {}
        self.buffered = {}
        self.rejected = None

    @property
    def version(self):
        """Version of the applied configuration."""
        return self.config.version

    def is_newer(self, version):
        """Return whether `version` may be applied after the current one."""
        return version > self.version

    def add(self, entry):
        """Add one entry and apply all entries that now follow in order.

        Returns
        -------
        list of LogEntry
            The entries applied, in order. An entry that is not valid here,
            for example one made by newer software, is not applied but
            recorded in `rejected`: the instance then gets no confirmation.
        """
        if not self.is_newer(entry.version):
            return []
        if (
            len(self.buffered) < MAX_BUFFERED_ENTRIES
            or entry.version == self.version + 1
        ):
            self.buffered[entry.version] = entry
        done = []
        while (following := self.buffered.pop(self.version + 1, None)) is not None:
            try:
                self.config = apply_change(self.config, following.change)
            except ConfigurationError as error:
                self.rejected = (following.version, str(error))
                break
            self._retain(following)
            done.append(following)
        return done

    def install(self, config):
        """Install a configuration if it is newer; return whether it was."""
        if not self.is_newer(config.version):
            return False
        self.config = config
        self.applied = {}
        self.buffered = {
            version: entry
            for version, entry in self.buffered.items()
            if version > config.version
        }
        return True

    def _retain(self, entry):
        self.applied[entry.version] = entry
        self.applied.pop(entry.version - self.retained, None)

    def entries_after(self, version):
        """Return the applied entries above `version`, None if not retained."""
        wanted = range(version + 1, self.version + 1)
        if any(number not in self.applied for number in wanted[:1]):
            return None
        return [self.applied[number] for number in wanted]


def conflicts(entries, change):
    """Return the entries that wrote a resource which `change` writes."""
    touched = resources_touched(change)
    return [entry for entry in entries if touched & resources_touched(entry.change)]
