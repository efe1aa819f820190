"""What endpoints say of themselves in their answers to this instance."""

import math
import time
from collections import Counter, deque

from wagtailfront.forwarding.endpoint_pauses import MAX_PAUSE, EndpointPauses

__all__ = ["EndpointNotices"]

MISDIRECTED = 421
REFUSALS = (429, 503)  # with them an endpoint can ask for a pause
# Incarnations that are gone from the registry and remembered as leaving: an
# entry that was removed can come back with an older copy of the registry.
MAX_DEPARTED = 1024
LEAVING, PAUSE, UNREADABLE = "leaving", "pause", "unreadable"


class EndpointNotices:
    """Notices of endpoints by incarnation.

    Parameters
    ----------
    log : DecisionLog
    rng : random.Random
    on_leaving : callable, optional
        Called with the record of an endpoint that begins to leave.
    clock : callable, optional

    Attributes
    ----------
    counts : Counter
        Changes by kind of notice, for the metrics.

    Notes
    -----
    Nothing that the registry says or omits undoes what an endpoint has said;
    a new incarnation has said nothing yet.

    Examples
    --------
    >>> import random
    >>> from wagtailfront.forwarding.endpoint_directory import EndpointRecord
    >>> from wagtailfront.forwarding.interfaces import EndpointNotice
    >>> from wagtailfront.observe.decision_log import DecisionLog
    >>> record = EndpointRecord("e1", "s", "h", 80, "a", 4, False, "", 1)
    >>> log = DecisionLog(instance="a", write=len)
    >>> notices = EndpointNotices(log=log, rng=random.Random(1))
    >>> leaves = EndpointNotice(is_leaving=True)
    >>> notices.record_answer(record, leaves, status=200)
    >>> [notices.is_leaving(incarnation) for incarnation in ("e1/1", "e1/2")]
    [True, False]
    """

    def __init__(
        self, *, log, rng, on_leaving=lambda record: None, clock=time.monotonic
    ):
        self.log = log
        self.on_leaving = on_leaving
        self.clock = clock
        self.pauses = EndpointPauses(rng=rng)
        self.leaving = set()
        self.departed = deque()  # leaving incarnations that are gone
        self.logged = set()  # (incarnation, header) that could not be read
        self.counts = Counter()

    def record_answer(self, record, notice, *, status, sent=-math.inf, request_id=None):
        """Record what an answer says of its endpoint.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint that the request was sent to.
        notice : EndpointNotice
        status : int
        sent : float, optional
            When the request was sent.
        request_id : str, optional
            Request that was answered, for the log.

        Notes
        -----
        The answer must certainly be one to the request. One with status 421
        comes from another endpoint.
        """
        if status == MISDIRECTED:
            return
        if notice.unreadable:
            self._log_unreadable(record, notice, request_id)
        if notice.is_leaving and not self.is_leaving(record.incarnation):
            self.leaving.add(record.incarnation)
            self._log(LEAVING, record, notice.headers, request_id)
            self.on_leaving(record)
        if self._update_pause(record, notice, status, sent):
            seconds = min(notice.retry_after or 0.0, MAX_PAUSE)
            self._log(PAUSE, record, notice.headers, request_id, seconds=seconds)

    def _update_pause(self, record, notice, status, sent):
        """Return whether the answer begins, lengthens or ends a pause."""
        now = self.clock()
        if status not in REFUSALS:
            return self.pauses.record_served(record.incarnation, sent=sent, now=now)
        if notice.retry_after is None:
            return False
        return self.pauses.begin(record.incarnation, notice.retry_after, now=now)

    def is_leaving(self, incarnation):
        """Return whether an endpoint takes no new work until it ends."""
        return incarnation in self.leaving

    def permits(self, incarnation):
        """Return whether a request for an endpoint may be sent now."""
        return not (
            self.is_leaving(incarnation)
            or self.pauses.is_paused(incarnation, now=self.clock())
        )

    def wait(self, incarnation):
        """Return the seconds until a request may be sent.

        Infinite if the endpoint leaves.
        """
        if incarnation in self.leaving:
            return math.inf
        if incarnation not in self.pauses:
            return 0.0
        return self.pauses.wait(incarnation, now=self.clock())

    def reserve(self, incarnation):
        """Reserve the next request, to be sent after `wait`."""
        self.pauses.reserve(incarnation, now=self.clock())

    def has_any(self):
        """Return whether an endpoint may be leaving or pausing."""
        return len(self.leaving) > len(self.departed) or len(self.pauses) > 0

    def count_paused(self):
        """Return the number of endpoints that want no requests now."""
        return self.pauses.count_paused(now=self.clock())

    def forget(self, record):
        """Bound what is remembered of an incarnation that is gone."""
        incarnation = record.incarnation
        self.logged = {key for key in self.logged if key[0] != incarnation}
        self.pauses.drop_ended(now=self.clock())
        if incarnation not in self.leaving or incarnation in self.departed:
            return
        self.departed.append(incarnation)
        if len(self.departed) > MAX_DEPARTED:
            self.leaving.remove(self.departed.popleft())

    def _log_unreadable(self, record, notice, request_id):
        """Log each header of an endpoint that cannot be read once."""
        names = {line.partition(":")[0] for line in notice.unreadable}
        keys = {(record.incarnation, name) for name in names}
        if not keys <= self.logged:
            self.logged |= keys
            self._log(UNREADABLE, record, notice.unreadable, request_id)

    def _log(self, notice, record, headers, request_id, **inputs):
        self.counts[notice] += 1
        self.log.decision(
            f"endpoint_notice_{notice}",
            outcome=record.endpoint_id,
            request=request_id,
            incarnation=record.incarnation,
            service=record.service,
            headers=headers,
            **inputs,
        )
