"""Detection of requests that crash the endpoints which run them."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
import xxhash

from wagtailfront.decisions.subsetting import ranked

__all__ = [
    "EVIDENCE_LIFETIME",
    "MAX_CRASHES",
    "Decision",
    "Placement",
    "ReportItem",
    "CrashEvidence",
    "request_fingerprint",
]

EVIDENCE_LIFETIME = 600.0  # seconds
MAX_CRASHES = 2  # one may be chance; a third endpoint is not put at risk


class ReportItem(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one instance on one fingerprint and one crash.

    Attributes
    ----------
    fingerprint : str
    crash : str
        Identifier of the crash, the same on all instances, for example the
        endpoint's name and its start count.
    endpoint : str
    age : float
        Seconds since the earliest known time of the crash.
    cleared : bool
        Whether a request with the fingerprint has completed since.
    running : bool
        Whether the sender still has an attempt with the fingerprint in
        flight.
    """

    fingerprint: str
    crash: str
    endpoint: str
    age: float
    cleared: bool
    running: bool


class Decision(enum.Enum):
    """Whether a request may be sent now."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Placement(NamedTuple):
    """Decision on a request, and the endpoint to use.

    `endpoint` is None unless a suspect must be sent to that endpoint.
    """

    decision: Decision
    endpoint: str | None = None


@dataclass(kw_only=True)
class _Suspicion:
    """A fingerprint that was in flight at one crash."""

    endpoint: str
    since: float
    cleared: bool = False
    confirmed_by: set = field(default_factory=set)
    attempts_since: set = field(default_factory=set)  # those in flight


class CrashEvidence:
    """Decides which requests may be sent, from crashes on all instances.

    Parameters
    ----------
    lifetime : float, optional
        Seconds for which a crash counts.
    max_crashes : int, optional
        Crashes after which a fingerprint is rejected.

    Notes
    -----
    A suspect is a fingerprint that was in flight on an endpoint when it
    crashed. It is sent again only when every live peer has reported the
    same evidence and has no attempt at it in flight. It goes to the
    endpoint with the highest rendezvous score among those that have not
    crashed with it, so two instances that retry the same suspect at the
    same time put only one endpoint at risk. A suspect also waits while that
    endpoint runs another suspect of this instance, so that a second crash
    identifies the cause. The caller of a failed suspect must not get its
    answer before `settled` is true; every instance then has the evidence
    when the caller resends the request.

    Duplicates that a caller sends concurrently are covered only in part:
    two in flight before the first crash can crash two endpoints, and each
    further one may crash another. The same holds for a duplicate that
    arrives while a suspect is retried.

    Each instance sends its report to all peers when a crash adds evidence,
    when `merge` returns True, when an attempt at a suspect ends, and
    periodically. `merge` keeps the earliest time of each pair of
    fingerprint and crash, and never undoes a clearing, so it is idempotent
    and commutative. An expired pair is stored for one more lifetime, so a
    report that is late by less than that cannot reintroduce it.

    A fingerprint that was in flight at both crashes without being their
    cause is rejected until the first of them expires or an attempt at it
    completes.

    Examples
    --------
    >>> evidence = CrashEvidence()
    >>> for n, endpoint in enumerate(["e1", "e2"]):
    ...     evidence.start("f", endpoint)
    ...     _ = evidence.record_crash(endpoint, f"{endpoint}#1", now=float(n))
    >>> evidence.place("f", endpoints=["e3"], live=(), now=2.0).decision
    <Decision.REFUSE: 'refuse'>
    >>> evidence.place("f", endpoints=["e3"], live=(), now=600.0).decision
    <Decision.SEND: 'send'>
    """

    def __init__(self, *, lifetime=EVIDENCE_LIFETIME, max_crashes=MAX_CRASHES):
        self.lifetime = lifetime
        self.max_crashes = max_crashes
        self.in_flight = []
        self.suspicions = {}

    def start(self, fingerprint, endpoint):
        """Record an attempt at `fingerprint` on `endpoint`."""
        self.in_flight.append((fingerprint, endpoint))
        for suspicion in self._all(fingerprint):
            suspicion.attempts_since.add(endpoint)

    def cancel(self, fingerprint, endpoint):
        """Record that an attempt ended without evidence either way."""
        self.in_flight.remove((fingerprint, endpoint))
        for suspicion in self._all(fingerprint):
            suspicion.attempts_since.discard(endpoint)

    def complete(self, fingerprint, endpoint, *, is_of_one_caller=False):
        """Record that an attempt completed, and clear its fingerprint.

        Parameters
        ----------
        fingerprint, endpoint : str
        is_of_one_caller : bool, optional
            Whether the fingerprint includes the caller. Then only crashes
            that were known when the attempt began are cleared; `endpoint`
            must be a name of the attempt alone.
        """
        for suspicion in self._all(fingerprint):
            is_later = endpoint in suspicion.attempts_since
            suspicion.cleared |= is_later or not is_of_one_caller
        self.cancel(fingerprint, endpoint)

    def record_crash(self, endpoint, crash, *, now):
        """Suspect the fingerprints in flight on `endpoint`; return them."""
        suspects = tuple(
            dict.fromkeys(
                fingerprint for fingerprint, at in self.in_flight if at == endpoint
            )
        )
        self.in_flight = [entry for entry in self.in_flight if entry[1] != endpoint]
        for fingerprint in suspects:
            for suspicion in self._all(fingerprint):
                suspicion.attempts_since.discard(endpoint)
            self._record(fingerprint, crash, endpoint, now)
        return suspects

    def report(self, *, now):
        """Return the report to the peers, a tuple of `ReportItem`."""
        self._drop_expired(now)
        running = {fingerprint for fingerprint, _ in self.in_flight}
        return tuple(
            ReportItem(
                fingerprint=fingerprint,
                crash=crash,
                endpoint=suspicion.endpoint,
                age=now - suspicion.since,
                cleared=suspicion.cleared,
                running=fingerprint in running,
            )
            for fingerprint, crashes in self.suspicions.items()
            for crash, suspicion in crashes.items()
        )

    def refused_report(self, *, now):
        """Return the part of the report on fingerprints that are rejected.

        For an instance that was not there when they crashed endpoints.
        """
        return tuple(
            item
            for item in self.report(now=now)
            if len(self._active(item.fingerprint, now)) >= self.max_crashes
        )

    def merge(self, peer, items, *, now):
        """Merge a peer's report into the evidence of this instance.

        Returns
        -------
        bool
            Whether the report contained new evidence. The peers then need a
            report of this instance as the acknowledgement.
        """
        new = False
        for item in items:
            known = self.suspicions.get(item.fingerprint, {}).get(item.crash)
            new |= known is None or item.cleared > known.cleared
            suspicion = self._record(
                item.fingerprint, item.crash, item.endpoint, now - item.age
            )
            suspicion.cleared |= item.cleared
            if not item.running:
                suspicion.confirmed_by.add(peer)
        return new

    def place(self, fingerprint, *, endpoints, live, now):
        """Decide whether and where `fingerprint` may be sent.

        Parameters
        ----------
        fingerprint : str
        endpoints : collection of str
            Endpoints that could run it. A suspect is rejected if all of
            them crashed with it.
        live : iterable of str
            Peers that are alive according to the membership.
        now : float

        Returns
        -------
        Placement
        """
        suspicions = self._active(fingerprint, now)
        if not suspicions:
            return Placement(Decision.SEND)
        if len(suspicions) >= self.max_crashes:
            return Placement(Decision.REFUSE)
        if not self.settled(fingerprint, live=live, now=now):
            return Placement(Decision.WAIT)
        crashed = {suspicion.endpoint for suspicion in suspicions}
        order = ranked(set(endpoints) - crashed, key=fingerprint)
        busy = {at for other, at in self.in_flight if self._active(other, now)}
        if endpoints and not order:
            return Placement(Decision.REFUSE)
        if not order or order[0] in busy:
            return Placement(Decision.WAIT)
        return Placement(Decision.SEND, order[0])

    def settled(self, fingerprint, *, live, now):
        """Return whether all live peers have the evidence and no attempt."""
        return all(
            suspicion.confirmed_by.issuperset(live)
            for suspicion in self._active(fingerprint, now)
        )

    def _all(self, fingerprint):
        """Return the suspicions of `fingerprint`, also the cleared ones."""
        return self.suspicions.get(fingerprint, {}).values()

    def _active(self, fingerprint, now):
        """Return the suspicions that count against `fingerprint` at `now`."""
        return [
            suspicion
            for suspicion in self._all(fingerprint)
            if not suspicion.cleared and now - suspicion.since < self.lifetime
        ]

    def _record(self, fingerprint, crash, endpoint, since):
        """Return the suspicion of `fingerprint` at `crash`; add it if new."""
        suspicion = self.suspicions.setdefault(fingerprint, {}).setdefault(
            crash, _Suspicion(endpoint=endpoint, since=since)
        )
        suspicion.since = min(suspicion.since, since)
        return suspicion

    def _drop_expired(self, now):
        """Drop the suspicions that expired one lifetime ago."""
        current = {
            fingerprint: {
                crash: suspicion
                for crash, suspicion in crashes.items()
                if now - suspicion.since < 2 * self.lifetime
            }
            for fingerprint, crashes in self.suspicions.items()
        }
        self.suspicions = {key: crashes for key, crashes in current.items() if crashes}


def request_fingerprint(model, *body, caller=""):
    """Return the fingerprint of a request with a body to `model`.

    Parameters
    ----------
    model : str
    *body : bytes-like
        Parts of the body, which may be too large for a copy.
    caller : str, optional
        Names the caller; without it, equal requests of all callers have one
        fingerprint. Neither this nor `model` contains NUL.

    Examples
    --------
    >>> request_fingerprint("m", b"{}") == request_fingerprint("m", b"{ }")
    False
    """
    name = f"\0{caller}\0{model}" if caller else model
    digest = xxhash.xxh3_128(name.encode() + b"\0")
    for part in body:
        digest.update(part)
    return digest.hexdigest()
