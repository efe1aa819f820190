"""Where a stream that a caller resumes may go on."""

from typing import NamedTuple

from wagtailfront.forwarding.begun_streams import StreamOrigin
from wagtailfront.forwarding.routes import RequestKind

__all__ = [
    "UNKNOWN_RETRY_AFTER",
    "ResumptionRefusal",
    "find_origin",
    "is_certain",
    "is_resumption",
    "named_origin",
    "refusal",
]

# Multiple of a route's timeout within which its streams began; the timeout may
# have been lowered since.
MAX_AGE_TIMEOUTS = 2.0
# Seconds for which other instances may use an endpoint that left the registry.
USE_AFTER_LEAVING = 5.0
PEER = "peer"  # source of an origin that a peer knows
HISTORY = "history"  # source of an origin that the only version suggests
UNKNOWN_RETRY_AFTER = 0.25  # seconds; a report of a peer may be on its way
GONE_RETRY_AFTER = 1.0  # seconds; versions that have left rarely come back


class ResumptionRefusal(NamedTuple):
    """Why a stream cannot go on, and after how many seconds to ask again."""

    kind: str
    reason: str
    retry_after: float


def is_resumption(fields, route):
    """Return whether a request resumes a stream of an earlier one."""
    return route.kind is RequestKind.STREAMING and (
        fields.resumes is not None or fields.last_event_id is not None
    )


def find_origin(fields, route, context):
    """Return the StreamOrigin of the stream that a caller resumes, or None.

    A stream that neither this instance nor a peer has recorded is known only
    if its service has had a single version for as long as the stream may be
    old.
    """
    now = context.clock()
    if fields.resumes is not None:
        origin = context.streams.find(fields.resumes, now=now)
        if origin is not None:
            return origin
    if len(route.shares) != 1:
        return None
    service = route.shares[0].service
    max_age = MAX_AGE_TIMEOUTS * route.timeout - (fields.time_left or 0.0)
    since = now - max(0.0, max_age) - USE_AFTER_LEAVING
    version = context.directory.versions.only_version(service, since=since)
    return StreamOrigin(service, version, HISTORY) if version else None


def named_origin(instructions):
    """Return the StreamOrigin that a peer names, or None.

    Parameters
    ----------
    instructions : ProxyInstructions or None
    """
    if instructions is None or instructions.software_version is None:
        return None
    return StreamOrigin(instructions.service, instructions.software_version, PEER)


def is_certain(origin):
    """Return whether an origin is that of the stream itself.

    Any other follows from the registry as this instance knows it, and holds
    only if it knows of all versions up to now.
    """
    return origin.source != HISTORY


def refusal(origin, route, context):
    """Return why a stream cannot go on, or None if it can."""
    if origin is None:
        return ResumptionRefusal(
            "unknown",
            "the software version that began the stream is unknown",
            UNKNOWN_RETRY_AFTER,
        )
    if not route.leads_to(origin.service):
        return ResumptionRefusal(
            "route",
            f"the route no longer leads to {origin.service!r}, which began the stream",
            GONE_RETRY_AFTER,
        )
    version = origin.software_version
    records = context.directory.find(origin.service)
    if not version or all(each.software_version != version for each in records):
        return ResumptionRefusal(
            "version",
            f"no endpoint has software version {version!r}, which began the stream",
            GONE_RETRY_AFTER,
        )
    return None
