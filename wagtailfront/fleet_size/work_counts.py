"""Work that callers bring, counted here and added up over all instances."""

from collections import defaultdict
from typing import NamedTuple

from wagtailfront.fleet_size.prefill_rates import PrefillRates
from wagtailfront.membership.messages import MAX_TEXT, ServiceWork

__all__ = ["FleetWork", "OwnWork", "WorkTotals"]

# Seconds between two reports of a peer beyond which the work in between is
# left out: added up at once, it would look like a burst.
MAX_REPORT_GAP = 3.0
MAX_SERVICES = 64  # in one digest
MS_PER_SECOND = 1000


class WorkTotals(NamedTuple):
    """Cumulative work of one service, or the difference of two such counts.

    Attributes
    ----------
    requests : float
    prompt_tokens : float
        Prompt tokens that engines had to prefill.
    stream_tokens : float
        KV cache reserved for all streams, in tokens.
    stream_ms : float
        Milliseconds that all streams took at engines, added up.
    refused : float
        Requests that no engine could serve in time.

    Examples
    --------
    >>> WorkTotals(5, 900).minus(WorkTotals(3, 400))[:2]
    (2, 500)
    """

    requests: float = 0
    prompt_tokens: float = 0
    stream_tokens: float = 0
    stream_ms: float = 0
    refused: float = 0

    def plus(self, other):
        """Return the sum of both."""
        return WorkTotals(*(a + b for a, b in zip(self, other, strict=True)))

    def at_least(self, other):
        """Return the larger of both, count by count."""
        return WorkTotals(*map(max, self, other))

    def minus(self, other):
        """Return the difference, nowhere negative."""
        return WorkTotals(*(max(0, a - b) for a, b in zip(self, other, strict=True)))


class _ServiceCounts:
    """Counts of one service; `open` streams began at `open_since` in sum."""

    __slots__ = ("requests", "prompt", "tokens", "seconds", "open", "since", "refused")

    def __init__(self):
        self.requests = self.prompt = self.tokens = self.refused = 0
        self.seconds = self.since = 0.0
        self.open = 0

    def totals(self, now):
        """Return the WorkTotals, with the time of open streams so far."""
        seconds = self.seconds + self.open * now - self.since
        return WorkTotals(
            self.requests,
            self.prompt,
            self.tokens,
            max(0, round(seconds * MS_PER_SECOND)),
            self.refused,
        )


class OwnWork:
    """Counts what callers of this instance bring, by service.

    Streams in progress count with the time that they took so far, so that the
    number of streams is known before long ones end.

    Attributes
    ----------
    prefill_rates : PrefillRates

    Examples
    --------
    >>> work = OwnWork()
    >>> work.record_request("s", tokens=300)
    >>> work.start_attempt("s", uncached_tokens=120, now=1.0)
    >>> tuple(work.totals("s", now=3.0))
    (1, 120, 300, 2000, 0)
    >>> work.end_attempt("s", started=1.0, now=4.0)
    >>> work.totals("s", now=9.0).stream_ms
    3000
    """

    def __init__(self):
        self.by_service = defaultdict(_ServiceCounts)
        self.prefill_rates = PrefillRates()

    def record_request(self, service, *, tokens):
        """Count a request; `tokens` of KV cache are reserved for it."""
        counts = self.by_service[service]
        counts.requests += 1
        counts.tokens += tokens

    def record_refusal(self, service):
        """Count a request that no engine could serve in time."""
        self.by_service[service].refused += 1

    def start_attempt(self, service, *, uncached_tokens, now):
        """Count an attempt that is sent to an engine."""
        counts = self.by_service[service]
        counts.prompt += uncached_tokens
        counts.open += 1
        counts.since += now

    def end_attempt(self, service, *, started, now):
        """Count the end of an attempt that was sent at `started`."""
        counts = self.by_service[service]
        counts.open -= 1
        counts.since -= started
        counts.seconds += now - started

    def totals(self, service, *, now):
        """Return the WorkTotals of a service."""
        return self.by_service[service].totals(now)


class _PeerWork(NamedTuple):
    received_at: float
    totals: dict


class FleetWork:
    """Adds up the work of all instances; a DigestPart.

    Only what is added between two reports of an instance counts. A peer that
    starts again, or is heard of again after a silence, thus begins with no
    work, and one that falls silent adds none.

    Parameters
    ----------
    own : OwnWork
    data_centre : str
        Of this instance.

    Attributes
    ----------
    sums : dict of (str, str) to WorkTotals
        By service and the data centre of the instances that got the requests.

    Examples
    --------
    >>> from wagtailfront.membership.messages import PlacementDigest
    >>> own, here = OwnWork(), FleetWork(own=OwnWork(), data_centre="a")
    >>> peer = FleetWork(own=own, data_centre="b")
    >>> for now in (1.0, 2.0):
    ...     own.record_request("s", tokens=50)
    ...     work = peer.fields(now=now, full=True)
    ...     digest = PlacementDigest(
    ...         incarnation="p", loads=(), prompts=(), data_centre="b", **work
    ...     )
    ...     here.merge(digest, now=now)
    >>> here.sums["s", "b"].requests
    1
    """

    def __init__(self, *, own, data_centre):
        self.own = own
        self.data_centre = data_centre
        self.sums = defaultdict(WorkTotals)
        self.peers = {}
        self.own_counted = {}

    def fields(self, *, now, full):
        """Return the counts of this instance, in full digests."""
        if not full:
            return {}
        services = sorted(name for name in self.own.by_service if len(name) <= MAX_TEXT)
        return {
            "work": tuple(
                ServiceWork(service, *self.own.totals(service, now=now))
                for service in services[:MAX_SERVICES]
            )
        }

    def merge(self, digest, *, now):
        """Add what a peer counted since its last report."""
        if not digest.work:
            return
        before = self.peers.get(digest.incarnation)
        totals = {
            work.service: WorkTotals(
                work.requests,
                work.prompt_tokens,
                work.stream_tokens,
                work.stream_ms,
                work.refused,
            )
            for work in digest.work
        }
        if before is not None:
            # A relayed digest may be older than one that came directly.
            for service, each in before.totals.items():
                totals[service] = totals.get(service, each).at_least(each)
        self.peers[digest.incarnation] = _PeerWork(now, totals)
        if before is not None and now - before.received_at <= MAX_REPORT_GAP:
            for service, each in totals.items():
                earlier = before.totals.get(service, WorkTotals())
                self._add(service, digest.data_centre, each.minus(earlier))

    def update(self, *, now):
        """Add the work of this instance, and forget silent peers."""
        for service in list(self.own.by_service):
            totals = self.own.totals(service, now=now)
            earlier = self.own_counted.get(service, WorkTotals())
            self.own_counted[service] = totals
            self._add(service, self.data_centre, totals.minus(earlier))
        self.peers = {
            incarnation: peer
            for incarnation, peer in self.peers.items()
            if now - peer.received_at <= MAX_REPORT_GAP
        }

    def _add(self, service, data_centre, work):
        key = (service, data_centre)
        self.sums[key] = self.sums[key].plus(work)
