"""Limits that callers keep to around changes of the configuration."""

import math
import time

__all__ = ["LIMIT_SHARE", "KnownLimits"]

KNOWN_SECONDS = 2.0  # until callers keep to a change
LIMIT_SHARE = 0.4  # part of a limit that callers use; they know none exactly


class KnownLimits:
    """Limits that callers may keep to around changes."""

    def __init__(self):
        self.versions = []

    def add(self, limits):
        self.versions.append((time.monotonic(), limits))

    def widest(self, name):
        """Return a limit of the versions that were in force just before."""
        since = time.monotonic() - KNOWN_SECONDS
        ends = [began for began, _limits in self.versions[1:]] + [math.inf]
        in_force = zip(ends, self.versions, strict=True)
        return max(limits[name] for end, (_, limits) in in_force if end > since)
