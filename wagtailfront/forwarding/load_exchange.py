"""Exchange of loads and crash evidence between instances."""

import time

import msgspec
from circuits import BaseComponent, Event, handler

from wagtailfront.forwarding.fleet_load import ProxyOffer
from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.forwarding.relay_groups import (
    RelayTargets,
    newcomer_targets,
    relay_targets,
)
from wagtailfront.membership.messages import (
    CrashReport,
    PlacementDigest,
    PromptPartReport,
    RelayedReports,
    StreamReport,
)
from wagtailfront.membership.peer_bus import peer_broadcast, peers_changed
from wagtailfront.transport.ticker import Ticker

__all__ = ["LoadExchange", "send_interval"]

SEND_INTERVAL = 0.08  # seconds between digests; about the time of a prefill
# Seconds between digests that are relayed: each takes twice the messages of a
# small fleet, so they are sent half as often.
RELAYED_SEND_INTERVAL = 0.16
# Peers that an instance of a fleet of about 90 sends to; one that has more
# sends less often, so that messages do not grow with the fleet.
REFERENCE_PEERS = 18
FULL_DIGEST_INTERVAL = 1.0  # seconds between digests of all endpoints
# Seconds after the start, when most instances have announced themselves.
FIRST_READ_DELAY = 0.4
SECOND_READ_DELAY = 2.0  # seconds after the start, if no peer is known by then
READ_INTERVAL = 4.0  # seconds between reads of the membership rows
ANNOUNCE_INTERVAL = 15.0  # seconds
# Seconds without an announcement or report of an instance after which it is
# dropped; long enough that some announcements may fail.
INSTANCE_LIFETIME = 50.0
ANNOUNCE_RETRY = 1.0  # seconds after an announcement that failed
MAX_EVIDENCE = 128  # items in one report
EVIDENCE_SENDS = 2  # sends of each item, as a message may be lost
MAX_RELAYED = 24  # reports in one message
MS_PER_SECOND = 1000


def send_interval(targets):
    """Return the seconds between two digests to these RelayTargets.

    Examples
    --------
    >>> send_interval(RelayTargets(group=("a", "b")))
    0.08
    >>> send_interval(RelayTargets(group=("a",) * 13, others=("b",) * 14))
    0.24
    """
    if not targets.others:
        return SEND_INTERVAL
    count = len(targets.addresses)
    return RELAYED_SEND_INTERVAL * max(1.0, count / REFERENCE_PEERS)


class send_digest(Event):
    """Send a digest of the changes to the peers."""


class LoadExchange(BaseComponent):
    """Discovers peers and exchanges loads, placements and evidence.

    Parameters
    ----------
    row : InstanceRow
        Row by which this instance announces itself.
    store : MembershipStore
    load : FleetLoad
    rate_limits : RateLimits
    prefix_caches : PrefixCachesByService
    evidence : CrashEvidence
    crashing_parts : CrashingParts
    streams : StreamMemory
    history : VersionHistory
    versions : StoreVersions
    contact : StoreContact
    confirmations : Confirmations
    pace : FleetPace
    find_service : callable
        Returns the service of an endpoint's incarnation, or None.
    timers : Timers
    log : DecisionLog
    make_offer : callable, optional
        Returns the ProxyOffer of this instance.
    parts : iterable of DigestPart, optional
    clock : callable, optional

    Notes
    -----
    Large fleets relay reports: see `relay_targets`. Each report names the
    instance that it comes from, so duplicates, and reports that arrive by
    another path after the fleet has changed, are harmless.
    """

    channel = "load_exchange"

    def __init__(
        self,
        *,
        row,
        store,
        load,
        rate_limits,
        prefix_caches,
        evidence,
        crashing_parts,
        streams,
        history,
        versions,
        contact,
        confirmations,
        pace,
        find_service,
        timers,
        log,
        make_offer=ProxyOffer,
        parts=(),
        clock=time.monotonic,
    ):
        super().__init__()
        self.row = row
        self.store = store
        self.load = load
        self.rate_limits = rate_limits
        self.prefix_caches = prefix_caches
        self.evidence = evidence
        self.crashing_parts = crashing_parts
        self.streams = streams
        self.history = history
        self.versions = versions
        self.contact = contact
        self.confirmations = confirmations
        self.pace = pace
        self.find_service = find_service
        self.make_offer = make_offer
        self.parts = tuple(parts)
        self.timers = timers
        self.log = log
        self.clock = clock
        self.targets = RelayTargets()
        self.row_versions = {}
        self.last_seen = {}
        self.to_relay = []
        self.send_due = 0.0
        self.full_digest_due = 0.0
        self.evidence_sends = {}
        self.sent_versions = ()
        self.sent_offer = None
        self.announcement = None
        versions.era_listeners[self.channel] = self._on_new_era
        Ticker(
            interval=SEND_INTERVAL, make_event=send_digest, target=self.channel
        ).register(self)

    @property
    def addresses(self):
        """Return the addresses of the other instances."""
        return tuple(sorted(self.last_seen))

    # Instances

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._announce()
        self.timers.after(FIRST_READ_DELAY, lambda: self.store.read(self._handle_rows))
        self.timers.after(SECOND_READ_DELAY, self._read_if_alone)
        self.timers.after(READ_INTERVAL, self._read_regularly)

    def _announce(self):
        self.store.announce(self.row, self._on_announced)

    def _on_announced(self, written):
        delay = self.pace.stretch(ANNOUNCE_INTERVAL) if written else ANNOUNCE_RETRY
        self._announce_after(delay)

    def _announce_after(self, delay):
        if self.announcement is not None:
            self.announcement.cancel()
        self.announcement = self.timers.after(delay, self._announce)

    def _on_new_era(self, era):
        """Announce this instance again: the store may have lost its row."""
        if self.announcement is not None:
            self._announce_after(self.pace.spread(ANNOUNCE_RETRY))

    def _read_if_alone(self):
        if not self.load.peers:
            self.store.read(self._handle_rows)

    def _read_regularly(self):
        self.store.read(self._handle_rows)
        self.timers.after(self.pace.stretch(READ_INTERVAL), self._read_regularly)

    def _handle_rows(self, rows):
        if rows is None:
            return
        now = self.clock()
        seen = dict(self.last_seen)
        for row in rows:
            known = self.row_versions.get(row.instance)
            if known == row.version:
                continue
            self.row_versions[row.instance] = row.version
            # The first row in a new era may be that of an older copy.
            is_copy = known is not None and known.era < row.version.era
            if not is_copy and row.address != self.row.address:
                seen[row.address] = now
        self._update_last_seen(seen, now)

    def _update_last_seen(self, seen, now):
        """Replace the times at which instances were last seen."""
        before = self.addresses
        self.last_seen = {
            address: time
            for address, time in seen.items()
            if now - time < INSTANCE_LIFETIME
        }
        self.load.instances = len(self.last_seen) + 1
        if self.addresses != before:
            if not before:
                # Peers that hear of this instance send it what it missed.
                self.full_digest_due = now
            self.targets = relay_targets(self.addresses, self.row.address)
            self.log.decision(
                "peers",
                outcome="changed",
                count=len(self.addresses),
                told=len(self.targets.addresses),
            )
            self.fire(peers_changed(self.targets.addresses), "peer_bus")

    # Sending

    @handler("send_digest")
    def _on_send_digest(self):
        now = self.clock()
        self.rate_limits.update_shares(now=now)
        # Ticks come slightly late, so half a tick early counts as due.
        if now < self.send_due - SEND_INTERVAL / 2:
            return
        is_relayed = bool(self.targets.others)
        self.send_due = now + send_interval(self.targets)
        reports = self._own_reports(now)
        for report in reports:
            self._send(self.targets.group, report)
        relayed, self.to_relay = (*reports, *self.to_relay), []
        for start in range(0, len(relayed) if is_relayed else 0, MAX_RELAYED):
            part = tuple(relayed[start : start + MAX_RELAYED])
            self._send(self.targets.others, RelayedReports(reports=part))

    def _own_reports(self, now):
        """Return the reports of this instance that are due."""
        reports = []
        full = now >= self.full_digest_due
        if full:
            self.full_digest_due = now + FULL_DIGEST_INTERVAL
        known = (self.versions.era, self.versions.known)
        rates = self.rate_limits.make_report(now=now, full=full)
        offer = self.make_offer()
        has_news = known != self.sent_versions or offer != self.sent_offer
        digest = self.load.make_digest(full=full or bool(rates) or has_news)
        begun = self.streams.take_report()
        if digest is None and begun:
            digest = PlacementDigest(
                incarnation=self.load.incarnation, loads=(), prompts=()
            )
        if digest is not None:
            self.sent_versions = known
            is_offer_due = full or offer != self.sent_offer
            self.sent_offer = offer
            age = self.contact.own_age(now=now)
            ages = self.confirmations.ages(now=now)
            extra = {}
            for part in self.parts:
                extra.update(part.fields(now=now, full=full))
            reports.append(
                msgspec.structs.replace(
                    digest,
                    address=self.row.address,
                    era=self.versions.era,
                    versions=self.versions.known,
                    rates=rates,
                    streams=begun,
                    store_age_ms=_in_ms(age),
                    table_ages_ms=tuple(map(_in_ms, ages)),
                    proxy=offer.address if is_offer_due else None,
                    data_centre=offer.data_centre if is_offer_due else "",
                    lost_services=offer.lost_services if is_offer_due else (),
                    **extra,
                )
            )
        items = self._own_evidence(now, repeat=full)
        if items:
            reports.append(CrashReport(incarnation=self.load.incarnation, items=items))
        part_report = self.crashing_parts.make_report(now=now, full=full)
        if part_report is not None:
            reports.append(
                PromptPartReport(incarnation=self.load.incarnation, report=part_report)
            )
        return reports

    def _own_evidence(self, now, *, repeat):
        """Return evidence found by this instance that is still to be sent."""
        items = {_evidence_key(item): item for item in self.evidence.report(now=now)}
        sends = {key: self.evidence_sends.get(key, 0) for key in items}
        due = [
            key
            for key, count in sends.items()
            if count == 0 or (repeat and count < EVIDENCE_SENDS)
        ][:MAX_EVIDENCE]
        for key in due:
            sends[key] += 1
        self.evidence_sends = sends
        return tuple(items[key] for key in due)

    def _send_refused(self, address, now):
        """Send evidence to an instance that starts or is in touch again."""
        items = self.evidence.refused_report(now=now)[-MAX_EVIDENCE:]
        if items and address in newcomer_targets(self.targets, self.row.address):
            report = CrashReport(incarnation=self.load.incarnation, items=items)
            self._send((address,), report)

    def _send_streams(self, address, now):
        """Send begun streams and versions to an instance that starts."""
        if address not in newcomer_targets(self.targets, self.row.address):
            return
        services = self.history.make_report(now=now)
        parts = self.streams.history(now=now) or ([()] if services else [])
        for part in parts:
            report = StreamReport(
                incarnation=self.load.incarnation, streams=part, services=services
            )
            self._send((address,), report)
            services = ()

    def _send(self, addresses, message):
        if addresses:
            self.fire(peer_broadcast(addresses, message), "peer_bus")

    # Receiving

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        now = self.clock()
        if isinstance(message, RelayedReports):
            for report in message.reports:
                self._handle_report(report, now)
        elif isinstance(message, StreamReport):
            for begun in message.streams:
                self.streams.merge_missed(begun, now=now)
            for seen in message.services:
                self.history.merge(seen, now=now)
        elif isinstance(message, (PlacementDigest, CrashReport, PromptPartReport)):
            self._handle_report(message, now)
            if self.targets.others:
                self.to_relay.append(message)

    def _handle_report(self, report, now):
        if report.incarnation == self.load.incarnation:
            return
        if isinstance(report, CrashReport):
            self.evidence.merge(report.incarnation, report.items, now=now)
            for item in report.items:
                self.evidence_sends[_evidence_key(item)] = EVIDENCE_SENDS
            return
        if isinstance(report, PromptPartReport):
            self.crashing_parts.merge(report.incarnation, report.report, now=now)
            return
        self._handle_digest(report, now)

    def _handle_digest(self, report, now):
        is_newcomer = report.incarnation not in self.load.peers
        self.load.merge(report, now=now)
        if report.rates:
            rates = [rate for rate in report.rates if self.find_service(rate.endpoint)]
            self.rate_limits.merge(rates, now=now)
        if report.store_age_ms is not None:
            self.contact.record_peer(report.store_age_ms / MS_PER_SECOND, now=now)
        self.versions.handle_peer_versions(report.era, report.versions)
        self.confirmations.record_peer(
            [age and age / MS_PER_SECOND for age in report.table_ages_ms],
            is_level=self.versions.is_level(report.era, report.versions),
            now=now,
        )
        for prompt in report.prompts:
            self._record_prompt(prompt)
        for begun in report.streams:
            self.streams.merge(begun, now=now)
        for part in self.parts:
            part.merge(report, now=now)
        if report.address in self.last_seen:
            self.last_seen[report.address] = now
        elif report.address and report.address != self.row.address:
            self._update_last_seen({**self.last_seen, report.address: now}, now)
        if is_newcomer:
            self._send_refused(report.address, now)
            self._send_streams(report.address, now)

    def _record_prompt(self, prompt):
        prefix_cache = self.prefix_caches.get(self.find_service(prompt.endpoint))
        if prefix_cache is not None:
            parts = tuple(PromptPart(*part) for part in prompt.parts)
            prefix_cache.record_prompt(prompt.endpoint, parts)


def _in_ms(age):
    return None if age is None else round(age * MS_PER_SECOND)


def _evidence_key(item):
    return item.fingerprint, item.crash, item.cleared
