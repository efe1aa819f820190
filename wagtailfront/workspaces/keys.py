"""Digests of API keys, and the workspaces that they belong to."""

import hashlib
from typing import NamedTuple

__all__ = ["KeyedWorkspace", "key_digest"]


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


def key_digest(key):
    """Return the digest that is kept in place of an API key.

    Examples
    --------
    >>> key_digest("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(key.encode()).hexdigest()
