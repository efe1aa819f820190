"""Bounded structured log of decisions on standard output."""

import os
import sys
import time

import msgspec

__all__ = ["DecisionLog", "NonBlockingWriter", "standard_output_log"]

# Limits of the lines of one kind; a request causes up to ten lines.
KIND_RATE = 60.0  # lines per second
KIND_BURST = 240.0  # lines
MAX_PENDING = 256 * 1024  # bytes buffered for a slow reader


class NonBlockingWriter:
    """Writes to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    pending : bytes
        Data that the reader has not accepted yet.
    dropped : int
        Number of writes dropped, as the buffer was full or the reader gone.
    """

    def __init__(self, *, descriptor):
        self.descriptor = descriptor
        self.pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, data):
        """Write or buffer `data`, or drop it if the buffer is full."""
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
            # The reader is gone, so the error cannot be logged either.
            self.pending = b""
            self.dropped += 1


class DecisionLog:
    """Writes decisions as JSON, one per line, with a rate limit per kind.

    Parameters
    ----------
    instance : str
    write : callable
        Takes the bytes of a line.
    clock, wall_clock : callable, optional
        Return monotonic time and Unix time, in seconds.
    rate, burst : float, optional
        Limit of the lines of one kind per second, and at once. Each kind has
        its own limit, so that many lines of one kind do not displace others.

    Attributes
    ----------
    dropped : dict of str to int
        Lines dropped since the last one written, by kind.

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
        """Write a line about a decision, or drop it above the rate limit.

        Parameters
        ----------
        kind : str
            Kind of decision, from a small fixed set.
        outcome : str
        request : str, optional
            Id of the request that it concerns.
        **inputs
            Inputs of the decision, such as ages in seconds and versions.
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
