"""Software versions that the endpoints of each service had."""

import itertools

from wagtailfront.membership.messages import MAX_TEXT, SeenVersions

__all__ = ["VersionHistory"]

LIFETIME = 300.0  # seconds for which versions that are gone are remembered
MAX_VERSIONS = 32  # of one service in a report


class VersionHistory:
    """Versions in the registry for as long as an instance has watched it.

    Attributes
    ----------
    is_current : bool
        Whether the last call to the registry succeeded.

    Examples
    --------
    >>> from wagtailfront.forwarding.endpoint_directory import EndpointRecord
    >>> record = EndpointRecord("e", "s", "h", 80, "a", 4, False, "", 1, "v1")
    >>> history = VersionHistory()
    >>> history.update([record], now=10.0)
    >>> [history.only_version("s", since=since) for since in (9.0, 11.0)]
    [None, 'v1']
    """

    def __init__(self):
        self.is_current = True
        self.watched_since = None
        self.told_since = {}  # by service; since when peers have watched it
        self.present = {}  # versions by service
        self.left = {}  # time of the last sight by (service, version)

    def update(self, records, *, now, is_gap=False):
        """Record the endpoints of a read of the registry.

        Parameters
        ----------
        records : iterable of EndpointRecord
        now : float
            Seconds.
        is_gap : bool, optional
            Whether versions may have come and gone unseen before this read.
        """
        if self.watched_since is None or is_gap:
            self.watched_since = now
            self.told_since = {}
        before, self.present = self.present, {}
        for record in records:
            versions = self.present.setdefault(record.service, set())
            versions.add(record.software_version)
        for service, versions in before.items():
            for version in versions - self.present.get(service, set()):
                self.left[service, version] = now
        if any(now - at > LIFETIME for at in self.left.values()):
            self.left = {k: at for k, at in self.left.items() if now - at <= LIFETIME}

    def only_version(self, service, *, since):
        """Return the only version of a service since a time, or None.

        None also if the service was not watched all that time.
        """
        watched = self._watched_since(service)
        if not self.is_current or watched is None or watched > since:
            return None
        versions = self.present.get(service, set()) | {
            version
            for (name, version), at in self.left.items()
            if name == service and at >= since
        }
        return versions.pop() if len(versions) == 1 else None

    def _watched_since(self, service):
        if self.watched_since is None:
            return None
        return min(self.watched_since, self.told_since.get(service, self.watched_since))

    def make_report(self, *, now):
        """Return a tuple of SeenVersions for an instance that starts."""
        if self.watched_since is None or not self.is_current:
            return ()
        ages = {}
        for service, versions in self.present.items():
            ages.setdefault(service, {}).update(dict.fromkeys(versions, 0.0))
        for (service, version), at in self.left.items():
            ages.setdefault(service, {}).setdefault(version, now - at)
        return tuple(
            SeenVersions(
                service,
                min(LIFETIME, now - self._watched_since(service)),
                tuple(versions.items()),
            )
            for service, versions in itertools.islice(ages.items(), 512)
            if len(versions) <= MAX_VERSIONS and len(service) <= MAX_TEXT
        )

    def merge(self, seen, *, now):
        """Add what a peer that has watched longer has seen."""
        if self.watched_since is None:
            return
        for version, age in seen.versions:
            key = (seen.service, version)
            if version not in self.present.get(seen.service, ()):
                self.left[key] = max(self.left.get(key, 0.0), now - age)
        since = min(now - seen.watched, self.told_since.get(seen.service, now))
        self.told_since[seen.service] = since
