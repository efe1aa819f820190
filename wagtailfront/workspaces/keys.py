"""Digests of API keys, and the workspaces that they belong to."""

import hashlib
from typing import NamedTuple

__all__ = [
    "CONFLICTING_KEYS",
    "KeyChanges",
    "KeyedWorkspace",
    "find_changes",
    "key_digest",
]

CONFLICTING_KEYS = ""  # in place of a digest; that of no key


class KeyedWorkspace(NamedTuple):
    """Workspace that a key belongs to.

    Attributes
    ----------
    name : str
    priority : int or None
        Rank of its requests, 0 for the most urgent; None for that of the
        route.
    """

    name: str
    priority: int | None = None


class KeyChanges(NamedTuple):
    """Numbers that a new configuration changes or leaves."""

    workspaces: int
    added: int
    removed: int


def key_digest(key):
    """Return the digest that is kept in place of an API key.

    Examples
    --------
    >>> key_digest("secret")[:12]
    '2bb80d537b1d'
    """
    # An error of encoding would show the key.
    return hashlib.sha256(key.encode(errors="surrogatepass")).hexdigest()


def find_changes(before, after):
    """Return the KeyChanges from one configuration's keys to the next's.

    Parameters
    ----------
    before, after : Mapping of str to KeyedWorkspace, or None
        By the digest of each key; None if requests need no key.

    Examples
    --------
    >>> a, b = KeyedWorkspace("a"), KeyedWorkspace("b")
    >>> find_changes({"1": a, "2": b}, {"1": a, "3": a})
    KeyChanges(workspaces=1, added=1, removed=1)
    >>> find_changes(None, None)
    KeyChanges(workspaces=0, added=0, removed=0)
    """
    before, after = before or {}, after or {}
    return KeyChanges(
        workspaces=len({workspace.name for workspace in after.values()}),
        added=len(after.keys() - before.keys()),
        removed=len(before.keys() - after.keys()),
    )
