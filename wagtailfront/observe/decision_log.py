"""Bounded structured log of decisions on standard output."""

import os
import sys
import time

import msgspec

__all__ = ["DecisionLog", "NonBlockingWriter", "standard_output_log"]

# Lines a second of one kind that are written; a request causes up to ten.
KIND_RATE = 60.0
KIND_BURST = 240.0
MAX_PENDING = 256 * 1024  # bytes that wait for a reader that is slow


class NonBlockingWriter:
    """Writes to a descriptor and never waits for its reader.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    dropped : int
        Writes that found no room.
    """

    def __init__(self, *, descriptor):
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, data):
        """Write `data`, keep it for later, or drop it."""
        if len(self.pending) + len(data) > MAX_PENDING:
            self.dropped += 1
            return
        self.pending += data
        try:
            count = os.write(self.descriptor, self.pending)
            self.pending = self.pending[count:]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is nowhere to report it.
            self.pending = b""
            self.dropped += 1


class DecisionLog:
    """Writes one JSON object a line, with a limit for each kind.

    Parameters
    ----------
    instance : str
    write : callable
        Takes the bytes of a line.
    clock, wall_clock : callable, optional
        Seconds that only grow, and Unix seconds.
    rate, burst : float, optional
        Lines of one kind, a second and at once. Each kind has its own limit,
        so that a flood of one kind does not hide the others.

    Examples
    --------
    >>> lines = []
    >>> log = DecisionLog(instance="i1", write=lines.append, burst=1, rate=0)
    >>> for _ in range(3):
    ...     log.decision("placed", request="r1", outcome="e1")
    >>> len(lines), log.dropped
    (1, {'placed': 2})
    """

    def __init__(
        self,
        *,
        instance,
        write,
        clock=time.monotonic,
        wall_clock=time.time,
        rate=KIND_RATE,
        burst=KIND_BURST,
    ):
        self.instance = instance
        self.write = write
        self.clock = clock
        self.wall_clock = wall_clock
        self.rate = rate
        self.burst = burst
        self.allowances = {}
        self.dropped = {}
        self.encoder = msgspec.json.Encoder()

    def decision(self, kind, *, outcome, request=None, **inputs):
        """Write a line on a decision.

        Parameters
        ----------
        kind : str
            What was decided, from a small closed set.
        outcome : str
        request : str, optional
            Id of the request that it touches.
        **inputs
            What decided it, with ages in seconds and versions.
        """
        if not self._allow(kind):
            self.dropped[kind] = self.dropped.get(kind, 0) + 1
            return
        fields = {
            "time": round(self.wall_clock(), 4),
            "instance": self.instance,
            "kind": kind,
            "outcome": outcome,
        }
        if request is not None:
            fields["request"] = request
        dropped = self.dropped.pop(kind, 0)
        if dropped:
            fields["dropped_before"] = dropped
        fields.update(inputs)
        self.write(self.encoder.encode(fields) + b"\n")

    def _allow(self, kind):
        now = self.clock()
        allowance, at = self.allowances.get(kind, (self.burst, now))
        allowance = min(self.burst, allowance + (now - at) * self.rate)
        allowed = allowance >= 1
        self.allowances[kind] = (allowance - allowed, now)
        return allowed


def standard_output_log(instance):
    """Return a DecisionLog on standard output."""
    writer = NonBlockingWriter(descriptor=sys.stdout.fileno())
    return DecisionLog(instance=instance, write=writer.write)
