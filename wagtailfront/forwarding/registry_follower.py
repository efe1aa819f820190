"""Updates of the endpoint directory from the registry."""

import time

__all__ = ["RegistryFollower"]


class RegistryFollower:
    """Applies reads of the registry to the directory.

    Parameters
    ----------
    directory : EndpointDirectory
    on_change : callable
        Called with each DirectoryChange.
    log : DecisionLog
    timers : Timers
    clock : callable, optional
    """

    def __init__(self, *, directory, on_change, log, timers, clock=time.monotonic):
        self.directory = directory
        self.on_change = on_change
        self.log = log
        self.timers = timers
        self.clock = clock
        self.records = ()
        self.recheck = None

    def apply_read(self, read):
        """Apply a RegistryRead; without records the last ones stay valid."""
        if read.records is not None:
            self.records = read.records
        self._apply()

    def _apply(self):
        now = self.clock()
        change = self.directory.replace(self.records, now=now)
        for kind, group in zip(change._fields, change, strict=True):
            for record in group:
                self.log.decision(
                    f"endpoint_{kind}",
                    outcome=record.endpoint_id,
                    service=record.service,
                    address=record.address,
                    stage=record.stage,
                )
        if any(change):
            self.on_change(change)
        if self.recheck is None and self.directory.retain_missing_until > now:
            # No read may arrive when retained endpoints have to be removed.
            self.recheck = self.timers.after(
                self.directory.retain_missing_until - now, self._recheck_missing
            )

    def _recheck_missing(self):
        self.recheck = None
        self._apply()
