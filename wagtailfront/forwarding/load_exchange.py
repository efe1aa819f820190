"""Exchange of loads and crash evidence between instances."""

import time

from circuits import BaseComponent, Event, handler

from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.membership.messages import CrashReport, PlacementDigest
from wagtailfront.membership.peer_bus import peer_send, peers_changed
from wagtailfront.transport.ticker import Ticker

__all__ = ["LoadExchange"]

SEND_INTERVAL = 0.08  # seconds between digests; a prompt takes about as long
WHOLE_INTERVAL = 1.0  # seconds between digests of everything
READ_INTERVAL = 4.0  # seconds between reads of the instances' rows
FIRST_READS = (0.4, 1.5, 3.0)  # seconds after the start
ANNOUNCE_INTERVAL = 15.0  # seconds
# An instance that was not announced for this long, in s, is gone.
ROW_LIFETIME = 50.0
ANNOUNCE_RETRY = 1.0  # seconds after an announcement that failed


class send_digest(Event):
    """Tell the peers what changed."""


class LoadExchange(BaseComponent):
    """Finds the other instances and keeps the fleet's load up to date.

    Parameters
    ----------
    row : InstanceRow
        What this instance announces.
    store : MembershipStore
    load : FleetLoad
    kept : KeptByService
    evidence : CrashEvidence
    find_service : callable
        Returns the service of an endpoint's incarnation, or None.
    timers : Timers
    log : DecisionLog
    clock : callable, optional
    """

    channel = "load_exchange"

    def __init__(
        self,
        *,
        row,
        store,
        load,
        kept,
        evidence,
        find_service,
        timers,
        log,
        clock=time.monotonic,
    ):
        super().__init__()
        self.row = row
        self.store = store
        self.load = load
        self.kept = kept
        self.evidence = evidence
        self.find_service = find_service
        self.timers = timers
        self.log = log
        self.clock = clock
        self.addresses = ()
        self.versions = {}
        self.whole_due = 0.0
        self.reported = ()
        Ticker(
            interval=SEND_INTERVAL, make_event=send_digest, target=self.channel
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._announce()
        for delay in FIRST_READS:
            self.timers.after(delay, lambda: self.store.read(self._take_rows))
        self.timers.after(READ_INTERVAL, self._read_regularly)

    def _announce(self):
        self.store.announce(self.row, self._take_announced)

    def _take_announced(self, written):
        delay = ANNOUNCE_INTERVAL if written else ANNOUNCE_RETRY
        self.timers.after(delay, self._announce)

    def _read_regularly(self):
        self.store.read(self._take_rows)
        self.timers.after(READ_INTERVAL, self._read_regularly)

    def _take_rows(self, rows):
        if rows is None:
            return
        now = self.clock()
        for row in rows:
            version, _since = self.versions.get(row.instance, (None, now))
            if version != row.version:
                self.versions[row.instance] = (row.version, now)
        addresses = tuple(
            sorted(
                row.address
                for row in rows
                if row.address != self.row.address
                and now - self.versions[row.instance][1] < ROW_LIFETIME
            )
        )
        if addresses != self.addresses:
            self.addresses = addresses
            self.log.decision("peers", outcome="changed", count=len(addresses))
            self.fire(peers_changed(addresses), "peer_bus")

    @handler("send_digest")
    def _on_send_digest(self):
        now = self.clock()
        whole = now >= self.whole_due
        if whole:
            self.whole_due = now + WHOLE_INTERVAL
        digest = self.load.digest(whole=whole)
        if digest is not None:
            self._send(digest)
        self._send_evidence(now)

    def _send_evidence(self, now):
        items = self.evidence.report(now=now)
        known = tuple((item.fingerprint, item.crash, item.cleared) for item in items)
        if known != self.reported:
            self.reported = known
            report = CrashReport(incarnation=self.load.incarnation, items=items[-512:])
            self._send(report)

    def _send(self, message):
        for address in self.addresses:
            self.fire(peer_send(address, message), "peer_bus")

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        now = self.clock()
        if isinstance(message, PlacementDigest):
            self.load.merge(message, now=now)
            for prompt in message.prompts:
                self._note_prompt(prompt)
        elif isinstance(message, CrashReport):
            self.evidence.merge(message.incarnation, message.items, now=now)

    def _note_prompt(self, prompt):
        kept = self.kept.get(self.find_service(prompt.endpoint))
        if kept is not None:
            parts = tuple(PromptPart(*part) for part in prompt.parts)
            kept.note(prompt.endpoint, parts)
