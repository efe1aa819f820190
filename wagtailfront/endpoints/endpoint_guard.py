"""Component that detects crashed engines and silent connections."""

import logging
import time
from typing import NamedTuple

from circuits import BaseComponent, Event, handler

from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.decisions.silence import EndpointSilence
from wagtailfront.identifiers import new_id
from wagtailfront.membership.heartbeats import member_broadcast
from wagtailfront.membership.messages import CrashReport
from wagtailfront.transport.http_client import WholeResponse
from wagtailfront.transport.http_exchange import split_address
from wagtailfront.transport.ticker import Ticker

__all__ = ["EndpointGuard", "attempt_silent"]

logger = logging.getLogger(__name__)

POLL_INTERVAL = 0.1  # seconds
PROBE_TIMEOUT = 1.0  # seconds
REPORT_INTERVAL = 5.0  # seconds between repeated reports to the peers
MAX_REPORT_ITEMS = 512  # in one message


class poll_connections(Event):
    """Check for connections without progress."""


class repeat_report(Event):
    """Send the evidence to the peers again, in case a report was lost."""


class attempt_silent(Event):
    """An attempt's connection is silent while its engine answers others."""


class _Attempt(NamedTuple):
    """An attempt in flight."""

    fingerprint: str
    engine: object


class EndpointGuard(BaseComponent):
    """Records evidence of crashes and monitors connections.

    It guards endpoints against requests that crash them, and requests
    against connections that go silent.

    Parameters
    ----------
    pool : HttpPool
        Sends probes on fresh connections.
    incarnation : str
        Incarnation of this instance, for reports to its peers.
    clock : callable, optional
    """

    channel = "endpoint_guard"

    def __init__(self, *, pool, incarnation, clock=time.monotonic):
        super().__init__()
        self.pool = pool
        self.incarnation = incarnation
        self.clock = clock
        self.evidence = CrashEvidence()
        self.attempts = {}
        self.silences = {}
        self.live_peers = ()
        Ticker(
            interval=POLL_INTERVAL,
            make_event=poll_connections,
            target=self.channel,
            is_needed=lambda: self.attempts,
        ).register(self)
        Ticker(
            interval=REPORT_INTERVAL, make_event=repeat_report, target=self.channel
        ).register(self)

    def place(self, fingerprint, *, endpoints, now):
        """Return the `Placement` for a request; see `CrashEvidence.place`."""
        return self.evidence.place(
            fingerprint, endpoints=endpoints, live=self.live_peers, now=now
        )

    def is_settled(self, fingerprint, now):
        """Return whether all peers have the evidence about a request."""
        return self.evidence.settled(fingerprint, live=self.live_peers, now=now)

    def attempt_sent(self, attempt, *, fingerprint, engine, gap, now):
        """Start to monitor an attempt; progress is due in `gap` seconds."""
        self.attempts[attempt] = _Attempt(fingerprint, engine)
        self.evidence.start(fingerprint, engine.name)
        self._silence(engine).open(attempt, gap=gap, now=now)

    def attempt_progressed(self, attempt, *, gap, now):
        """Record progress; the next is due in `gap` seconds."""
        entry = self.attempts.get(attempt)
        if entry is not None:
            self._silence(entry.engine).record_progress(attempt, gap=gap, now=now)

    def attempt_completed(self, attempt):
        """Record a complete answer, which clears the request of suspicion."""
        entry = self._close(attempt)
        if entry is None:
            return
        had_evidence = entry.fingerprint in self.evidence.suspicions
        self.evidence.complete(entry.fingerprint, entry.engine.name)
        if had_evidence:
            self._send_report()

    def attempt_cancelled(self, attempt):
        """Record the end of an attempt that is no evidence of a crash."""
        entry = self._close(attempt)
        if entry is not None:
            self.evidence.cancel(entry.fingerprint, entry.engine.name)
            if entry.fingerprint in self.evidence.suspicions:
                self._send_report()

    def attempt_lost(self, attempt, *, start_id, on_recorded):
        """Probe whether the engine of a lost connection has crashed.

        It has if it does not answer or reports another start identifier.

        Parameters
        ----------
        start_id : str
            Start identifier that the engine sent with the response to the
            attempt, or an empty string.
        on_recorded : callable
            Called without arguments once the result is recorded.
        """
        entry = self.attempts.get(attempt)
        if entry is None:
            on_recorded()
            return

        def on_probe(status, headers, _body):
            now_id = headers.get("X-Start-Id", "") if status is not None else None
            if status is None or (start_id and now_id != start_id):
                self._record_crash(entry.engine, start_id)
            else:
                self.attempt_cancelled(attempt)
            on_recorded()

        self._probe(entry.engine, on_probe)

    def _record_crash(self, engine, start_id):
        name = engine.name
        crash = f"{name}#{start_id}"
        suspects = self.evidence.record_crash(name, crash, now=self.clock())
        for attempt in [a for a, e in self.attempts.items() if e.engine.name == name]:
            self._close(attempt)
        if suspects:
            logger.warning(
                "[guard] %s crashed with %d requests in flight.", name, len(suspects)
            )
            self._send_report()

    def _close(self, attempt):
        entry = self.attempts.pop(attempt, None)
        if entry is not None:
            self._silence(entry.engine).close(attempt)
        return entry

    def _silence(self, engine):
        return self.silences.setdefault(engine.name, EndpointSilence())

    def _probe(self, engine, on_done):
        host, port = split_address(engine.address)
        sink = WholeResponse(on_done)
        sink.exchange = self.pool.request(
            host=host,
            port=port,
            method="GET",
            path="/health",
            headers=[("X-Request-Id", new_id())],
            sink=sink,
            timeout=PROBE_TIMEOUT,
            fresh=True,
        )

    @handler("poll_connections")
    def _on_poll(self):
        now = self.clock()
        engines = {entry.engine.name: entry.engine for entry in self.attempts.values()}
        for name, engine in engines.items():
            silence = self.silences[name]
            self._report_silent(engine, silence.take_silent(now=now))
            if silence.poll(now=now):
                self._probe_silence(engine)

    def _probe_silence(self, engine):
        silence = self.silences[engine.name]

        def on_probe(status, _headers, _body):
            now = self.clock()
            if status is None:
                silence.probe_failed(now=now)
                return
            self._report_silent(engine, silence.probe_answered(now=now))

        self._probe(engine, on_probe)

    def _report_silent(self, engine, attempts):
        if attempts:
            host, port = split_address(engine.address)
            self.pool.drop_idle_to(host, port)
        for attempt in attempts:
            logger.warning("[guard] Connection of %s went silent.", attempt)
            self.fire(attempt_silent(attempt), "*")

    def _send_report(self):
        items = self.evidence.report(now=self.clock())[:MAX_REPORT_ITEMS]
        if items:
            message = CrashReport(incarnation=self.incarnation, items=items)
            self.fire(member_broadcast(message), "*")

    @handler("repeat_report")
    def _on_repeat_report(self):
        self._send_report()

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        if isinstance(message, CrashReport):
            is_new = self.evidence.merge(
                message.incarnation, message.items, now=self.clock()
            )
            if is_new:
                self._send_report()

    @handler("members_changed", channel="*")
    def _on_members_changed(self, members):
        self.live_peers = tuple(
            member.incarnation
            for member in members
            if member.incarnation != self.incarnation
        )
