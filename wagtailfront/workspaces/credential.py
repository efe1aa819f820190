"""Which workspace a request belongs to, by the key that it carries."""

import enum
from typing import NamedTuple

__all__ = ["CALLER_DIGITS", "Credential", "CredentialKind", "authenticate"]

CALLER_DIGITS = 32  # of a key's digest; enough to tell callers apart


class CredentialKind(enum.Enum):
    """What a request shows of its caller."""

    NONE = "none"
    UNKNOWN = "unknown"
    WORKSPACE = "workspace"


class Credential(NamedTuple):
    """What the key of a request gives it access to.

    Attributes
    ----------
    kind : CredentialKind
    workspace : str or None
        Name of the workspace that the key belongs to.
    priority : int or None
        That of the workspace; None for the priority of the route.
    caller : str
        Names the caller, the same on all instances; empty without a key.
    """

    kind: CredentialKind
    workspace: str | None = None
    priority: int | None = None
    caller: str = ""


def authenticate(digest, workspaces):
    """Return the Credential of a request.

    Parameters
    ----------
    digest : str or None
        Digest of its key, see `key_digest`; None if it carries none.
    workspaces : Mapping of str to KeyedWorkspace
        By the digest of each key.

    Examples
    --------
    >>> from wagtailfront.workspaces.keys import KeyedWorkspace, key_digest
    >>> workspaces = {key_digest("secret"): KeyedWorkspace("reading-room")}
    >>> authenticate(key_digest("secret"), workspaces).workspace
    'reading-room'
    >>> authenticate(key_digest("guess"), workspaces).kind
    <CredentialKind.UNKNOWN: 'unknown'>
    """
    if digest is None:
        return Credential(CredentialKind.NONE)
    # Which digests are near that of a key tells nothing about the key, so
    # the lookup's time does not help to guess one.
    found = workspaces.get(digest)
    caller = digest[:CALLER_DIGITS]
    if found is None:
        return Credential(CredentialKind.UNKNOWN, caller=caller)
    return Credential(CredentialKind.WORKSPACE, found.name, found.priority, caller)
