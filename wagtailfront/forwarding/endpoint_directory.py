"""Directory of the endpoints in the platform's registry."""

from typing import NamedTuple

from wagtailfront.forwarding.version_history import VersionHistory

__all__ = ["EndpointRecord", "DirectoryChange", "EndpointDirectory"]

# Seconds after an outage within which live endpoints register again, according
# to the platform's page on service discovery.
RETURN_SECONDS = 2.0
# Seconds after a restore of the registry in which it may list endpoints that
# had gone: those that are silent for three heartbeats of 1.2 s are removed.
GHOST_SECONDS = 5.0
# Seconds for which departures are remembered; the copy is some seconds old.
DEPARTURE_LIFETIME = 60.0


class EndpointRecord(NamedTuple):
    """One incarnation of an endpoint as registered.

    Attributes
    ----------
    endpoint_id : str
    service : str
    host : str
    port : int
    data_centre : str
    slots : int
        Requests that it processes concurrently.
    is_leaving : bool
    stage : str
        "prefill", "decode", or empty for a plain service.
    started_ms : int
        Start time in Unix milliseconds; distinguishes incarnations with the
        same id.
    software_version : str
        Empty if it is not known.
    is_spot : bool
        Whether it may be reclaimed at any time.
    """

    endpoint_id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    stage: str
    started_ms: int
    software_version: str = ""
    is_spot: bool = False

    @property
    def address(self):
        """Return the address as "host:port"."""
        return f"{self.host}:{self.port}"

    @property
    def incarnation(self):
        """Return a name that differs between two starts of an endpoint."""
        return f"{self.endpoint_id}/{self.started_ms}"


class DirectoryChange(NamedTuple):
    """Changes by a read of the registry, as tuples of EndpointRecord."""

    added: tuple
    leaving: tuple
    gone: tuple


class _Departure(NamedTuple):
    """When, and in which era of the registry, an endpoint left or had gone."""

    at: float
    era: int
    is_gone: bool


class EndpointDirectory:
    """Endpoints that may get work, updated by full reads of the registry.

    Notes
    -----
    The registry drops an entry that its endpoint does not renew, even while
    the store is unreachable. Endpoints that are missing from the first read
    after an outage are therefore retained until they have had time to
    register again. One that is missing from any other read was removed.

    A registry that comes back from an older copy, in a new era, also lacks
    endpoints that had registered since, and contains those that had left.
    The former are retained like after an outage. An endpoint that had
    announced its leaving stays leaving, and one that had gone stays gone
    unless its entry outlives the time in which a silent one is removed.

    Examples
    --------
    >>> record = EndpointRecord("e1", "s", "h", 80, "a", 4, False, "", 1)
    >>> directory = EndpointDirectory()
    >>> _ = directory.replace([record], now=0.0)
    >>> len(directory.replace([], now=9.0, is_after_outage=True).gone)
    0
    >>> [len(directory.replace([], now=now).gone) for now in (10.0, 11.1)]
    [0, 1]
    """

    def __init__(self):
        self.records = {}
        self.by_service = {}
        self.read_at = None
        self.retained = frozenset()  # ids of endpoints that may come back
        self.retain_until = 0.0
        self.era = 0
        self.departed = {}  # _Departure by incarnation
        self.ghosts_until = 0.0
        self.versions = VersionHistory()

    def replace(self, records, *, now, era=0, is_after_outage=False, is_gap=False):
        """Replace the entries by those of a full read of the registry.

        Parameters
        ----------
        records : iterable of EndpointRecord
        now : float
            Time of the response in seconds.
        era : int, optional
            Era of the registry; rises when it comes back from an older copy.
        is_after_outage : bool, optional
            Whether the registry was away since the read before this one.
        is_gap : bool, optional
            Whether an endpoint may have come and gone since then.

        Returns
        -------
        DirectoryChange
        """
        is_restored = 0 < self.era < era
        if is_restored:
            self.ghosts_until = now + GHOST_SECONDS
        self.era = max(self.era, era)
        self.read_at = now
        present = {
            record.endpoint_id: record
            for record in self._without_departed(records, now)
        }
        missing = {
            endpoint_id: record
            for endpoint_id, record in self.records.items()
            if endpoint_id not in present
        }
        if is_after_outage or is_restored:
            self.retained = frozenset(missing)
            self.retain_until = now + RETURN_SECONDS
        elif now >= self.retain_until:
            self.retained = frozenset()
        retained = {
            endpoint_id: record
            for endpoint_id, record in missing.items()
            if endpoint_id in self.retained
        }
        before = self.records
        self.records = {**retained, **present}
        self._index()
        self.versions.update(
            self.records.values(),
            now=now,
            is_gap=is_after_outage or is_restored or is_gap,
        )
        change = DirectoryChange(
            added=tuple(
                record
                for record in present.values()
                if record.endpoint_id not in before
                or before[record.endpoint_id].incarnation != record.incarnation
            ),
            leaving=tuple(
                record
                for record in present.values()
                if record.is_leaving
                and record.endpoint_id in before
                and not before[record.endpoint_id].is_leaving
            ),
            gone=tuple(
                record
                for endpoint_id, record in missing.items()
                if endpoint_id not in retained
            ),
        )
        self._record_departures(change, now)
        return change

    def _without_departed(self, records, now):
        """Yield the records as of the endpoints' last known states."""
        for record in records:
            departure = self.departed.get(record.incarnation)
            if departure is None or departure.era == self.era:
                yield record
            elif not departure.is_gone:
                yield record._replace(is_leaving=True)
            elif now >= self.ghosts_until:
                yield record

    def _record_departures(self, change, now):
        self.departed = {
            incarnation: departure
            for incarnation, departure in self.departed.items()
            if now - departure.at < DEPARTURE_LIFETIME
        }
        for record in change.added:
            self.departed.pop(record.incarnation, None)
        leaving = (*change.leaving, *(r for r in change.added if r.is_leaving))
        for record in (*leaving, *change.gone):
            is_gone = record in change.gone
            departure = _Departure(now, self.era, is_gone)
            self.departed[record.incarnation] = departure

    def find(self, service):
        """Return the endpoints of a service that may get new work."""
        return self.by_service.get(service, ())

    def find_service(self, incarnation):
        """Return the service of an incarnation, or None."""
        record = self.records.get(incarnation.rpartition("/")[0])
        return None if record is None else record.service

    def find_incarnation(self, incarnation):
        """Return the record of an incarnation, or None."""
        record = self.records.get((incarnation or "").rpartition("/")[0])
        is_found = record is not None and record.incarnation == incarnation
        return record if is_found else None

    def is_current(self, record):
        """Return whether the incarnation of a record may get new work."""
        known = self.records.get(record.endpoint_id)
        return (
            known is not None
            and not known.is_leaving
            and known.incarnation == record.incarnation
            and known.software_version == record.software_version
        )

    def _index(self):
        services = {record.service for record in self.records.values()}
        self.by_service = {
            service: tuple(
                record
                for record in self.records.values()
                if record.service == service and not record.is_leaving
            )
            for service in services
        }
