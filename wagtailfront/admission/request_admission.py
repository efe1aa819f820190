"""Admission of one request, and what its course shows of the forecasts."""

import math

from wagtailfront.admission.admission import CallerTime
from wagtailfront.admission.control import Work
from wagtailfront.admission.urgency import engine_level

__all__ = ["RequestAdmission"]


class RequestAdmission:
    """Admits one request and reports how well it was forecast.

    Parameters
    ----------
    control : AdmissionControl
    service : str
    priority : int
    patience : float
        Seconds without a first event after which its caller leaves; infinite
        if it waits for a complete response.
    output_tokens : int
        Tokens that the request may generate.
    received, deadline : float
        When it arrived, and when its caller stops waiting.
    clock : callable

    Attributes
    ----------
    work : Work or None
        What was forecast when the request was admitted.
    """

    def __init__(
        self,
        *,
        control,
        service,
        priority,
        received,
        deadline,
        clock,
        patience=math.inf,
        output_tokens=0,
    ):
        self.control = control
        self.service = service
        self.priority = priority
        self.patience = patience
        self.output_tokens = output_tokens
        self.received = received
        self.deadline = deadline
        self.clock = clock
        self.work = None
        self.admitted_at = 0.0
        self.first_event_at = None

    def caller_time(self, now):
        """Return the CallerTime that is left."""
        return CallerTime(
            left=self.deadline - now,
            patience=self.patience,
            waited=now - self.received,
        )

    def admit(self, first_event, *, prefill=0.0, engines=1):
        """Return the Admission of the request.

        Parameters
        ----------
        first_event : float
            Forecast seconds until its first event.
        prefill : float, optional
            Engine time in seconds that its own prompt takes.
        engines : int, optional
            Engines that share the work of the service.
        """
        now = self.clock()
        work = Work(
            service=self.service,
            priority=self.priority,
            first_event=first_event,
            output_tokens=self.output_tokens,
            prefill=prefill,
            engines=engines,
        )
        admission = self.control.admit(work, self.caller_time(now), now=now)
        if admission.is_admitted:
            self.work, self.admitted_at = work, now
        return admission

    def engine_level(self, prefill=0.0):
        """Return the priority at an engine, 0 for the most urgent.

        Parameters
        ----------
        prefill : float, optional
            Engine time in seconds that its own prompt takes. The queue does
            not count: the longer it is, the more requests would overtake
            others that were admitted.
        """
        caller = self.caller_time(self.clock())
        spare = min(caller.patience - caller.waited, caller.left) - prefill
        is_stream = self.patience < math.inf
        whole = self.patience if is_stream else self.deadline - self.received
        ranks = self.control.ranks.get(self.service, (self.priority,))
        return engine_level(self.priority, ranks, spare=spare / whole)

    def record_first_event(self):
        """Record that the first event has arrived."""
        now = self.first_event_at = self.clock()
        if self.work is not None:
            seconds = now - self.admitted_at
            self.control.record_first_event(self.work, seconds=seconds, now=now)

    def record_complete(self):
        """Record that the last event has arrived."""
        now = self.clock()
        self.control.record_output(
            self.service,
            tokens=self.output_tokens,
            seconds=now - self.first_event_at,
            now=now,
        )

    def record_end(self):
        """Record that the request has ended, with a first event or without."""
        if self.work is not None and self.first_event_at is None:
            now = self.clock()
            seconds = now - self.admitted_at
            self.control.record_without_event(self.work, seconds=seconds, now=now)
