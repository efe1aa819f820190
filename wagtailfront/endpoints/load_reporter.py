"""Component that reads engines' load reports and shares them with peers."""

import itertools
import logging
import time

from circuits import BaseComponent, Event, handler

from wagtailfront.authority.config_state import EMPTY
from wagtailfront.decisions.work import LoadReport, Role
from wagtailfront.decoding import decode_json
from wagtailfront.endpoints.engine_protocol import EngineLoad
from wagtailfront.exception import ProtocolError
from wagtailfront.membership import messages
from wagtailfront.transport.http_client import WholeResponse
from wagtailfront.transport.http_exchange import split_address
from wagtailfront.transport.ticker import Ticker

__all__ = ["LoadReporter", "load_reported"]

logger = logging.getLogger(__name__)

POLL_INTERVAL = 1.0  # seconds between reads of a report
DIGEST_INTERVAL = 5.0  # seconds between digests to peers
READ_TIMEOUT = 0.9  # seconds; less than the interval, so that reads do not pile up
# Seconds without a report in a digest after which it is read directly.
DIGEST_MISSING = 3 * DIGEST_INTERVAL
# Limit on reads per poll of engines in groups of other instances. Without it,
# an instance whose peers send no digests would read 1,100 engines a second.
MAX_DIRECT_READS = 10
# Relative change up to which a report is left out of a digest.
NOISE = 0.1


class poll(Event):
    """Read the load reports that are due."""


class share(Event):
    """Send a digest of changed reports to the peers."""


class load_reported(Event):
    """A load report of an engine was read or received from a peer."""


class LoadReporter(BaseComponent):
    """Reads and shares load reports of engines.

    The holder of a group's lease reads the reports of its engines and sends
    digests to its peers, which read a report only if digests are missing.

    Parameters
    ----------
    pool : HttpPool
    held_engines : callable
        Returns a mapping of each group whose lease this instance holds to
        the lease's fencing number and the names of the group's engines.
    broadcast : callable
        Sends a message to all peers.
    clock : callable, optional
    """

    channel = "load_reporter"

    def __init__(self, *, pool, held_engines, broadcast, clock=time.monotonic):
        super().__init__()
        self.pool = pool
        self.held_engines = held_engines
        self.broadcast = broadcast
        self.clock = clock
        self.config = EMPTY
        self.started = clock()
        self.updated_at = {}
        self.requested_at = {}
        self.loads = {}
        self.shared = {}
        self.digest_number = 0
        self.reading = set()
        for interval, event in ((POLL_INTERVAL, poll), (DIGEST_INTERVAL, share)):
            Ticker(interval=interval, make_event=event, target=self.channel).register(
                self
            )

    @handler("config_applied", channel="*")
    def _on_configuration(self, config):
        self.config = config

    @handler("poll")
    def _on_poll(self):
        now = self.clock()
        held = {
            name for _fence, names in self.held_engines().values() for name in names
        }
        unreported = (
            name
            for name in self.config.engines
            if name not in held and now - self._last_update(name) > DIGEST_MISSING
        )
        for name in (*held, *itertools.islice(unreported, MAX_DIRECT_READS)):
            if name in self.config.engines and name not in self.reading:
                self.read(self.config.engines[name])

    def _last_update(self, name):
        """Return when an engine's report last arrived or was requested.

        Requests count, so that engines which do not answer cannot use up
        the direct reads.
        """
        known = self.updated_at.get(name, self.started)
        return max(known, self.requested_at.get(name, known))

    def read(self, engine, on_load=None):
        """Read one engine's report.

        Parameters
        ----------
        on_load : callable, optional
            Called with the `EngineLoad`, or None if it cannot be read.
        """
        host, port = split_address(engine.address)
        self.reading.add(engine.name)
        requested_at = self.requested_at[engine.name] = self.clock()

        def on_done(status, _headers, body):
            self.reading.discard(engine.name)
            load = _decode(body) if status == 200 else None
            if load is not None:
                self._handle_load(engine.name, load, requested_at)
            if on_load is not None:
                on_load(load)

        sink = WholeResponse(on_done)
        sink.exchange = self.pool.request(
            host=host,
            port=port,
            method="GET",
            path="/load",
            sink=sink,
            timeout=READ_TIMEOUT,
        )

    def _handle_load(self, name, load, requested_at):
        taken = requested_at - load.age
        self.loads[name] = (load, taken)
        self._publish(name, load, taken)

    def _publish(self, name, load, taken):
        if name not in self.config.engines:
            return
        self.updated_at[name] = self.clock()
        report = LoadReport(
            taken=taken,
            running=int(load.running),
            waiting=int(load.waiting),
            queued_prefill_tokens=int(load.queued_prefill_tokens),
            role=Role(getattr(load, "role", self.config.engines[name].role)),
            available=not getattr(load, "changing", False),
        )
        self.fire(load_reported(name, report), "*")

    @handler("share")
    def _on_share(self):
        now = self.clock()
        for group, (fence, names) in self.held_engines().items():
            changed = [
                _entry(name, load, now - taken)
                for name in names
                if name in self.loads
                for load, taken in (self.loads[name],)
                if self._must_share(name, load)
            ]
            if changed:
                self.digest_number += 1
                self.broadcast(
                    messages.LoadDigest(
                        group=group,
                        fencing_number=fence,
                        number=self.digest_number,
                        loads=tuple(changed),
                    )
                )

    def _must_share(self, name, load):
        """Return whether a report is to be shared.

        A report is shared if it changed since it was last shared. Every
        third digest repeats it unchanged, so that a peer which missed one
        does not read the engine directly.
        """
        counts = (load.running, load.waiting, load.queued_prefill_tokens)
        before, skipped = self.shared.get(name, (None, 0))
        same = before is not None and all(
            abs(new - old) <= NOISE * max(new, old)
            for new, old in zip(counts, before, strict=True)
        )
        if same and skipped < 2:
            self.shared[name] = (before, skipped + 1)
            return False
        self.shared[name] = (counts, 0)
        return True

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        if isinstance(message, messages.LoadDigest):
            self._handle_digest(message)

    def _handle_digest(self, digest):
        now = self.clock()
        for entry in digest.loads:
            if entry.engine in self.config.engines:
                self._publish(entry.engine, entry, now - entry.age)


def _decode(body):
    try:
        return decode_json(body, EngineLoad)
    except ProtocolError as error:
        logger.warning("[load] Cannot read a load report: %s.", error)
        return None


def _entry(name, load, age):
    return messages.EngineLoad(
        engine=name,
        running=load.running,
        waiting=load.waiting,
        queued_prefill_tokens=load.queued_prefill_tokens,
        age=age,
    )
