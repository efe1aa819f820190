"""What endpoints say of themselves in their answers to this instance."""

from collections import deque

__all__ = ["EndpointNotices"]

MISDIRECTED = 421
# Incarnations that are gone from the registry and remembered as leaving: an
# entry that was removed can come back with an older copy of the registry.
MAX_DEPARTED = 1024


class EndpointNotices:
    """Notices of endpoints by incarnation.

    Parameters
    ----------
    log : DecisionLog
    on_leaving : callable, optional
        Called with the record of an endpoint that begins to leave.

    Notes
    -----
    Nothing that the registry says or omits undoes what an endpoint has said;
    a new incarnation has said nothing yet.

    Examples
    --------
    >>> from wagtailfront.forwarding.endpoint_directory import EndpointRecord
    >>> from wagtailfront.forwarding.interfaces import EndpointNotice
    >>> from wagtailfront.observe.decision_log import DecisionLog
    >>> record = EndpointRecord("e1", "s", "h", 80, "a", 4, False, "", 1)
    >>> notices = EndpointNotices(log=DecisionLog(instance="a", write=len))
    >>> leaves = EndpointNotice(is_leaving=True)
    >>> notices.record_answer(record, leaves, status=200)
    >>> [notices.is_leaving(incarnation) for incarnation in ("e1/1", "e1/2")]
    [True, False]
    """

    def __init__(self, *, log, on_leaving=lambda record: None):
        self.log = log
        self.on_leaving = on_leaving
        self.leaving = set()
        self.departed = deque()  # leaving incarnations that are gone
        self.unreadable = set()  # (incarnation, header) that were logged

    def record_answer(self, record, notice, *, status, request_id=None):
        """Record what an answer says of its endpoint.

        Parameters
        ----------
        record : EndpointRecord
            Endpoint that the request was sent to.
        notice : EndpointNotice
        status : int
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
            self._log("endpoint_leaves", record, notice.headers, request_id)
            self.on_leaving(record)

    def is_leaving(self, incarnation):
        """Return whether an endpoint takes no new work until it ends."""
        return incarnation in self.leaving

    def forget(self, record):
        """Bound what is remembered of an incarnation that is gone."""
        incarnation = record.incarnation
        self.unreadable = {key for key in self.unreadable if key[0] != incarnation}
        if incarnation not in self.leaving or incarnation in self.departed:
            return
        self.departed.append(incarnation)
        if len(self.departed) > MAX_DEPARTED:
            self.leaving.remove(self.departed.popleft())

    def _log_unreadable(self, record, notice, request_id):
        """Log each header of an endpoint that cannot be read once."""
        names = {line.partition(":")[0] for line in notice.unreadable}
        keys = {(record.incarnation, name) for name in names}
        if not keys <= self.unreadable:
            self.unreadable |= keys
            self._log("notice_ignored", record, notice.unreadable, request_id)

    def _log(self, kind, record, headers, request_id, **inputs):
        self.log.decision(
            kind,
            outcome=record.endpoint_id,
            request=request_id,
            incarnation=record.incarnation,
            service=record.service,
            headers=headers,
            **inputs,
        )
