"""Updates of the endpoint directory from the registry."""

import math
import time

__all__ = ["RegistryFollower"]


class RegistryFollower:
    """Applies reads of the registry to the directory.

    Parameters
    ----------
    directory : EndpointDirectory
    contact : StoreContact
    on_change : callable
        Called with each DirectoryChange.
    log : DecisionLog
    timers : Timers
    clock : callable, optional
    """

    def __init__(
        self, *, directory, contact, on_change, log, timers, clock=time.monotonic
    ):
        self.directory = directory
        self.contact = contact
        self.on_change = on_change
        self.log = log
        self.timers = timers
        self.clock = clock
        self.records = ()
        self.era = 0
        self.has_failed_read = False
        self.known_at = -math.inf
        self.recheck = None

    def apply_read(self, read):
        """Apply a RegistryRead; without records the last ones stay valid."""
        self.directory.versions.is_current = read.is_known
        if not read.is_known:
            self.has_failed_read = True
            return
        now = self.clock()
        self.contact.record_answer(now=now)
        # An answered watch shows that the store was there all the time.
        is_after_outage = self.has_failed_read and self.contact.was_away(
            since=self.known_at
        )
        self.has_failed_read = False
        self.known_at = now
        if read.records is not None:
            self.records = read.records
        if read.cursor is not None:
            self.era = read.cursor.era
        self._apply(is_after_outage=is_after_outage, is_gap=read.is_gap)

    def _apply(self, *, is_after_outage=False, is_gap=False):
        now = self.clock()
        change = self.directory.replace(
            self.records,
            now=now,
            era=self.era,
            is_after_outage=is_after_outage,
            is_gap=is_gap,
        )
        for kind, group in zip(change._fields, change, strict=True):
            for record in group:
                self.log.decision(
                    f"endpoint_{kind}",
                    outcome=record.endpoint_id,
                    service=record.service,
                    address=record.address,
                    stage=record.stage,
                    version=record.software_version,
                )
        if any(change):
            self.on_change(change)
        settles = (self.directory.retain_until, self.directory.ghosts_until)
        due = min((at for at in settles if at > now), default=None)
        if self.recheck is None and due is not None:
            # No read may arrive when the directory has to change.
            self.recheck = self.timers.after(due - now, self._recheck)

    def _recheck(self):
        self.recheck = None
        self._apply()
