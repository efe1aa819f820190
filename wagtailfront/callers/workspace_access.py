"""Workspace of a request, from its API key."""

from wagtailfront.callers.completion_request import InvalidRequest
from wagtailfront.workspaces.keys import key_digest

__all__ = ["find_workspace"]

DEFAULT_WORKSPACE = "default"


def find_workspace(headers, workspaces):
    """Return the name of the workspace that a request belongs to.

    Parameters
    ----------
    headers : mapping of str to str
    workspaces : dict of str to Workspace

    Raises
    ------
    InvalidRequest
        If the key is unknown, or the named workspace needs another key.

    Notes
    -----
    A workspace with a key digest requires its key. If no workspace has a key
    digest, keys are ignored, since OpenAI-style clients always send one.
    """
    digests = {w.key_digest: w.name for w in workspaces.values() if w.key_digest}
    name = headers.get("X-Workspace", "")
    if digests:
        key = headers.get("Authorization", "").removeprefix("Bearer ").strip()
        owner = digests.get(key_digest(key)) if key else None
        if owner is not None and name in ("", owner):
            return owner
        if key and owner is None:
            raise InvalidRequest("unknown API key", status=401, code="invalid_api_key")
    found = workspaces.get(name or DEFAULT_WORKSPACE)
    if found is not None and found.key_digest:
        raise InvalidRequest(
            "this workspace needs its API key", status=401, code="invalid_api_key"
        )
    if found is not None:
        return found.name
    if name and workspaces:
        raise InvalidRequest("no such workspace", status=403, code="unknown_workspace")
    return DEFAULT_WORKSPACE
