"""Positions of the store that this instance and its peers know."""

from wagtailfront.forwarding.interfaces import StorePosition

__all__ = ["StoreVersions"]


class StoreVersions:
    """Position of the latest change of each table known to this instance.

    Instances send each other the era of the store and the versions in it, so
    that one whose watch got no response learns that it has missed a change,
    and one that has not heard of a restore learns of that. Versions of an
    earlier era say nothing about the present one.

    Parameters
    ----------
    tables : tuple of str
        In the order in which versions are sent.

    Attributes
    ----------
    era : int
        Latest era of the store that this instance or a peer has seen.
    known : tuple of int
        Versions of the latest changes in that era, in the order of the tables.
    era_listeners : dict of str to callable
        Called with each era after the first, by the component's channel or
        table, so that a component that is restarted replaces its own.

    Examples
    --------
    >>> versions = StoreVersions(tables=("routing", "registry"))
    >>> versions.record("registry", StorePosition(1, 7))
    >>> versions.era, versions.known
    (1, (0, 7))
    >>> versions.listeners["registry"] = print
    >>> versions.handle_peer_versions(1, (3, 9))
    StorePosition(era=1, ver=9)
    >>> versions.record("registry", StorePosition(2, 4))
    >>> versions.handle_peer_versions(1, (3, 9))
    >>> versions.era, versions.known
    (2, (0, 4))
    """

    def __init__(self, *, tables):
        self.tables = tables
        self.era = 0
        self.known = (0,) * len(tables)
        self.listeners = {}
        self.era_listeners = {}

    def record(self, table, position):
        """Record the position of a change that this instance has applied."""
        self.handle_era(position.era)
        if position.era == self.era:
            self.known = tuple(
                max(version, position.ver) if name == table else version
                for name, version in zip(self.tables, self.known, strict=True)
            )

    def handle_era(self, era):
        """Handle an era in which the store answered, here or to a peer."""
        if era <= self.era:
            return
        is_first, self.era = not self.era, era
        self.known = (0,) * len(self.tables)
        for listener in () if is_first else self.era_listeners.values():
            listener(era)

    def is_level(self, era, versions):
        """Return for each table whether a peer knows no later change of it."""
        if era != self.era:
            return (False,) * len(self.tables)
        return tuple(
            version <= known
            for known, version in zip(self.known, versions, strict=False)
        )

    def handle_peer_versions(self, era, versions):
        """Handle the era and the versions that a peer knows."""
        if era == self.era and versions == self.known:
            return
        self.handle_era(era)
        if era < self.era:
            return
        for table, known, version in zip(
            self.tables, self.known, versions, strict=False
        ):
            if version > known and table in self.listeners:
                self.listeners[table](StorePosition(era, version))
