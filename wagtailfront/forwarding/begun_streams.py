"""Memory of which service and software version began a stream."""

from collections import defaultdict
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from wagtailfront.membership.messages import MAX_TEXT, BegunStreams

__all__ = ["StreamMemory", "StreamOrigin"]

LIFETIME = 60.0  # seconds; longer than callers resume a stream
MAX_STREAMS = 2**17  # streams remembered, those of peers included
ID_BYTES = 8
MAX_IDS_BYTES = 32_000  # in one item of a report
MAX_REPORT_BYTES = 64_000  # identifiers in one message


class StreamOrigin(NamedTuple):
    """What began a stream.

    Attributes
    ----------
    service, software_version : str
    source : str
        How it is known: "own", "peer" or "history".
    age : float or None
        Seconds since then, to within a second.
    """

    service: str
    software_version: str
    source: str
    age: float | None = None


def _identifier(request_id):
    return blake2b(request_id.encode(), digest_size=ID_BYTES).digest()


def _split(identifiers):
    starts = range(0, len(identifiers), ID_BYTES)
    return [bytes(identifiers[start : start + ID_BYTES]) for start in starts]


def _contains(identifiers, identifier):
    """Return whether an identifier is among joined ones."""
    start = identifiers.find(identifier)
    while start % ID_BYTES and start >= 0:
        start = identifiers.find(identifier, start + 1)
    return start >= 0


class StreamMemory:
    """Streams begun by this instance and those that peers report.

    Streams of one second, service and version are kept as joined identifiers,
    so that a report of a peer costs the same for any number of streams.

    Examples
    --------
    >>> sender, receiver = StreamMemory(), StreamMemory()
    >>> sender.record("r1", "s", "v1", now=5.0)
    >>> for begun in sender.take_report():
    ...     receiver.merge(begun, now=5.2)
    >>> receiver.find("r1", now=6.0).software_version
    'v1'
    >>> receiver.find("r2", now=6.0) is None
    True
    """

    def __init__(self):
        self.seconds = {}  # joined identifiers by origin, by second
        self.count = 0
        self.unsent = defaultdict(bytearray)

    def record(self, request_id, service, software_version, *, now):
        """Record that this instance forwarded the first event of a stream.

        Parameters
        ----------
        request_id : str
            Attempt of the caller that got the first event.
        service, software_version : str
        now : float
            Seconds.
        """
        identifier = _identifier(request_id)
        self._add(int(now), (service, software_version, "own"), identifier)
        self.unsent[service, software_version] += identifier

    def merge(self, begun, *, now):
        """Record streams that a peer reports."""
        key = (begun.service, begun.software_version, "peer")
        if now - LIFETIME < now - begun.age:
            self._add(int(now - begun.age), key, begun.identifiers)

    def merge_missed(self, begun, *, now):
        """Record streams that a peer remembers, except those known already.

        Several peers report the same ones to an instance that starts.
        """
        second = int(now - begun.age)
        known = {
            identifier
            # Peers' seconds begin at different times.
            for near in (second - 1, second, second + 1)
            for key, identifiers in self.seconds.get(near, {}).items()
            if key[:2] == (begun.service, begun.software_version)
            for identifier in _split(identifiers)
        }
        missing = [each for each in _split(begun.identifiers) if each not in known]
        joined = b"".join(missing)
        self.merge(msgspec.structs.replace(begun, identifiers=joined), now=now)

    def find(self, request_id, *, now):
        """Return the StreamOrigin of a stream, or None if it is unknown."""
        identifier = _identifier(request_id)
        for second in sorted(self.seconds, reverse=True):
            for key, identifiers in self.seconds[second].items():
                if _contains(identifiers, identifier):
                    return StreamOrigin(*key, age=now - second)
        return None

    def take_report(self):
        """Return BegunStreams that peers have not been told of."""
        unsent, self.unsent = self.unsent, defaultdict(bytearray)
        return tuple(
            item for key, ids in unsent.items() for item in _items(key, ids, 0.0)
        )

    def history(self, *, now):
        """Return all BegunStreams as tuples that each fit into a message."""
        items = [
            item
            for second in sorted(self.seconds, reverse=True)
            for (*key, _source), ids in self.seconds[second].items()
            for item in _items(key, ids, max(0.0, now - second))
        ]
        per_message = [[]]
        size = 0
        for item in items:
            size += len(item.identifiers) + len(item.service)
            if size > MAX_REPORT_BYTES or len(per_message[-1]) == 256:
                per_message.append([])
                size = len(item.identifiers)
            per_message[-1].append(item)
        return [tuple(part) for part in per_message if part]

    def _add(self, second, key, identifiers):
        if second not in self.seconds:
            self.seconds[second] = defaultdict(bytearray)
            self._forget_until(max(self.seconds) - LIFETIME)
        if second in self.seconds:
            self.seconds[second][key] += identifiers
            self.count += len(identifiers) // ID_BYTES
        while self.count > MAX_STREAMS and len(self.seconds) > 1:
            self._forget_until(min(self.seconds))

    def _forget_until(self, last):
        for second in [second for second in self.seconds if second <= last]:
            joined = self.seconds.pop(second).values()
            self.count -= sum(map(len, joined)) // ID_BYTES


def _items(key, identifiers, age):
    if any(len(text) > MAX_TEXT for text in key):
        return
    for start in range(0, len(identifiers), MAX_IDS_BYTES):
        part = bytes(identifiers[start : start + MAX_IDS_BYTES])
        yield BegunStreams(*key, part, age)
