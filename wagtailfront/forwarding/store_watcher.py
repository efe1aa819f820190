"""Watching of tables of the platform's store."""

from circuits import BaseComponent, handler

__all__ = ["StoreWatcher", "StoreVersions"]

# Seconds after which the store answers a watch without a change; a silent
# connection is detected soon after.
WATCH_SECONDS = 1.2
RETRY_DELAY = 0.25  # seconds after a read that failed
# Longest stretched gap in seconds: an endpoint may get new work for only 3 s
# after it has announced that it leaves.
MAX_GAP = 1.0
# Seconds that a watch may lag behind what a peer has seen: the store answers
# all watches of a change within milliseconds.
CATCH_UP_DELAY = 0.3


class StoreVersions:
    """Version of the latest change of each table known to this instance.

    Instances send each other these versions, so that one whose watch got no
    response learns that it has missed a change.

    Parameters
    ----------
    tables : tuple of str
        In the order in which versions are sent.

    Examples
    --------
    >>> versions = StoreVersions(tables=("routing", "registry"))
    >>> versions.record("registry", 7)
    >>> versions.known
    (0, 7)
    >>> versions.listeners["registry"] = print
    >>> versions.handle_peer_versions((3, 9))
    9
    """

    def __init__(self, *, tables):
        self.tables = tables
        self.changed = dict.fromkeys(tables, 0)
        self.listeners = {}

    @property
    def known(self):
        """Return the versions in the order of the tables."""
        return tuple(self.changed.values())

    def record(self, table, version):
        """Record the version of a change that this instance has applied."""
        self.changed[table] = max(self.changed[table], version)

    def handle_peer_versions(self, versions):
        """Handle the versions that a peer knows."""
        for table, version in zip(self.tables, versions, strict=False):
            if version > self.changed[table] and table in self.listeners:
                self.listeners[table](version)


class StoreWatcher(BaseComponent):
    """Reads a table, then watches for changes.

    Parameters
    ----------
    table : str
        Name for the log and for `versions`.
    source : RoutingSource or RegistrySource
    on_read : callable
        Called with the result of each successful call.
    versions : StoreVersions
    pace : FleetPace
    timers : Timers
    log : DecisionLog
    min_gap : float, optional
        Seconds between a response and the next watch, to batch changes that
        come close together.
    """

    channel = "store_watcher"

    def __init__(
        self,
        *,
        table,
        source,
        on_read,
        versions,
        pace,
        timers,
        log,
        min_gap=0.0,
    ):
        super().__init__()
        self.table = table
        self.source = source
        self.on_read = on_read
        self.versions = versions
        self.pace = pace
        self.timers = timers
        self.log = log
        self.min_gap = min_gap
        self.cursor = None
        self.is_reachable = None
        self.call_number = 0
        self.catch_up_version = 0
        versions.listeners[table] = self.handle_newer_version

    @handler("started", channel="*")
    def _on_started(self, manager):
        self._call_store()

    def _call_store(self):
        """Read or watch; the responses to earlier calls are ignored."""
        self.call_number += 1
        number = self.call_number

        def on_reply(read):
            if number == self.call_number:
                self._handle_read(read)

        if self.cursor is None:
            self.source.read(on_reply)
        else:
            wait = self.pace.stretch(WATCH_SECONDS)
            self.source.watch(self.cursor, wait, on_reply)

    def _handle_read(self, read):
        if read.is_known != self.is_reachable:
            self.is_reachable = read.is_known
            outcome = "reached" if read.is_known else "lost"
            self.log.decision(self.table, outcome=outcome, reason=read.reason)
        if not read.is_known:
            # A watch without a response may have missed a change.
            self.cursor = None
            self._call_store_after(RETRY_DELAY)
            return
        if read.cursor is None and self.cursor is not None:
            self.log.decision(self.table, outcome="history gone", reason=read.reason)
        self.cursor = read.cursor
        self.versions.record(self.table, read.changed)
        self.on_read(read)
        gap = (
            self.pace.stretch(self.min_gap, max_seconds=MAX_GAP)
            if self.min_gap
            else 0.0
        )
        self._call_store_after(gap if read.cursor is not None else RETRY_DELAY)

    def _call_store_after(self, delay):
        number = self.call_number
        self.timers.after(
            delay, lambda: number == self.call_number and self._call_store()
        )

    def handle_newer_version(self, version):
        """Handle a report that the store has a change with this version."""
        if version <= self.catch_up_version or (self.cursor or 0) >= version:
            return
        self.catch_up_version = version
        self.timers.after(CATCH_UP_DELAY, lambda: self._catch_up(version))

    def _catch_up(self, version):
        if self.cursor is not None and self.cursor < version:
            self.log.decision(
                self.table, outcome="behind", known=self.cursor, heard=version
            )
            self.cursor = None
            self._call_store()
