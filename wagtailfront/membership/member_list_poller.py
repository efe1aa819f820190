"""Component that polls the platform's list of instances."""

import logging

import msgspec
from circuits import BaseComponent, Event, handler

from wagtailfront.decoding import decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.membership.heartbeats import instances_listed
from wagtailfront.membership.member_list import ListedInstance
from wagtailfront.transport.ticker import Ticker

__all__ = ["LIST_INTERVAL", "MAX_LIST_BYTES", "parse_list", "MemberListPoller"]

# Seconds between reads of the platform's list.
LIST_INTERVAL = 2.0
# Seconds after which an unanswered read no longer blocks the next.
FETCH_TIMEOUT = 5.0
MAX_LIST_BYTES = 1024 * 1024
STATES = ("live", "leaving")

logger = logging.getLogger(__name__)


class ListEntry(msgspec.Struct, frozen=True):
    """An entry of the list in the platform's format."""

    id: str
    address: str
    data_centre: str
    state: str


class ListBody(msgspec.Struct, frozen=True):
    """The body of GET /instances."""

    instances: list[ListEntry]


class poll_list(Event):
    """Read the platform's list."""


def parse_list(body):
    """Return the `ListedInstance` entries in the platform's answer.

    An unknown state counts as leaving: such an instance gets no new work.

    Raises
    ------
    ProtocolError
        If the body is too large or not a list of instances.

    Examples
    --------
    >>> parse_list(b'{"instances": []}')
    ()
    """
    if len(body) > MAX_LIST_BYTES:
        raise ProtocolError(f"list of {len(body)} bytes is too large")
    listed = decode_json(body, ListBody).instances
    return tuple(
        ListedInstance(
            entry.id,
            entry.address,
            entry.data_centre,
            entry.state if entry.state in STATES else "leaving",
        )
        for entry in listed
    )


class MemberListPoller(BaseComponent):
    """Reads GET /instances and fires `instances_listed`.

    Parameters
    ----------
    fetch : callable
        `fetch(etag=..., reply=...)` sends the request with If-None-Match;
        `reply(status, etag, body)` is called with the answer, or with status
        0 if there was none.
    clock : callable
    """

    channel = "member_list_poller"

    def __init__(self, *, fetch, clock):
        super().__init__()
        self.fetch = fetch
        self.clock = clock
        self.etag = None
        self.instances = None
        self.requested_at = None
        Ticker(
            interval=LIST_INTERVAL, make_event=poll_list, target=self.channel
        ).register(self)
        self.fire(poll_list())

    @handler("poll_list")
    def _on_poll_list(self):
        now = self.clock()
        if self.requested_at is not None and now - self.requested_at < FETCH_TIMEOUT:
            return
        self.requested_at = now
        self.fetch(etag=self.etag, reply=self._on_answer)

    def _on_answer(self, status, etag, body):
        self.requested_at = None
        if status == 200:
            try:
                self.instances = parse_list(body)
            except ProtocolError as error:
                logger.warning("[members] platform's list ignored: %s", error)
                return
            self.etag = etag
        elif status != 304 or self.instances is None:
            logger.warning("[members] platform's list not read, status %s", status)
            return
        self.fire(instances_listed(self.instances), "*")
