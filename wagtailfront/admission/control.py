"""Forecasts for requests, and their admission by the caller's time."""

from collections import defaultdict
from typing import NamedTuple

from wagtailfront.admission.admission import Expectation, admit
from wagtailfront.admission.arriving_work import ArrivingWork
from wagtailfront.admission.fair_share import FairShare
from wagtailfront.admission.forecast_error import HALF_LIFE, ForecastError
from wagtailfront.admission.recent_ratio import RecentRatio
from wagtailfront.admission.returning_callers import Place, ReturningCallers
from wagtailfront.room.workspace_share import WorkspaceShares

__all__ = ["AdmissionControl", "Work"]


class Work(NamedTuple):
    """Work that is left for a request.

    Attributes
    ----------
    service : str
    priority : int
        Rank of the request, 0 for the most urgent.
    first_event : float
        Forecast seconds until its first event.
    output_tokens : int
        Tokens that it may generate.
    prefill : float
        Engine time in seconds that its own prompt takes.
    engines : int
        Engines that share the work of the service.
    gives_way : bool
        Whether it comes after others of its rank, so that no place is kept
        for it when it is refused.
    """

    service: str
    priority: int
    first_event: float
    output_tokens: int = 0
    prefill: float = 0.0
    engines: int = 1
    gives_way: bool = False


class AdmissionControl:
    """Admits requests, and measures the forecasts that this is based on.

    Parameters
    ----------
    count_instances : callable, optional
        Returns the number of instances, or 0 while it is unknown.

    Attributes
    ----------
    ranks : dict of str to list of int
        Priorities of all routes to a service, in order.

    Examples
    --------
    >>> from wagtailfront.admission.admission import CallerTime
    >>> control = AdmissionControl()
    >>> work = Work("s", 0, first_event=1.5, output_tokens=100)
    >>> caller = CallerTime(left=3.0, patience=2.0)
    >>> control.admit(work, caller, now=0.0).is_admitted
    True
    >>> control.record_output("s", tokens=10, seconds=0.2, now=0.0)
    >>> control.admit(work, caller, now=0.0).is_admitted
    False
    """

    def __init__(self, *, count_instances=lambda: 1):
        self.count_instances = count_instances
        self.ranks = {}
        self.errors = {}
        self.outputs = {}
        self.residences = {}
        self.answers = {}
        self.returning = {}
        self.shares = defaultdict(FairShare)
        self.arriving = {}
        self.workspaces = WorkspaceShares()

    def set_routes(self, routes, workspaces=None):
        """Adopt the ranks of requests from a configuration.

        Parameters
        ----------
        routes : iterable of Route
        workspaces : Mapping of str to KeyedWorkspace, optional
            A priority of theirs goes before that of the route.
        """
        own = {workspace.priority for workspace in (workspaces or {}).values()}
        ranks = defaultdict(set)
        for route in routes:
            has_own_rank = not own or None in own or route.is_public
            route_ranks = (own - {None}) | ({route.priority} if has_own_rank else set())
            for share in route.shares:
                ranks[share.service] |= route_ranks
        self.ranks = {service: sorted(each) for service, each in ranks.items()}

    def expect(self, work, *, now):
        """Return the Expectation for some work, by the measured errors."""
        first_event = self._error(work).correct(work.first_event, now=now)
        pace = self.outputs.get(work.service)
        seconds_per_token = 0.0 if pace is None else pace.value(now=now)
        return Expectation(*first_event, work.output_tokens * seconds_per_token)

    def answer_seconds(self, service, *, now):
        """Return the measured time of a call that does not queue, or 0.0."""
        answers = self.answers.get(service)
        return 0.0 if answers is None else answers.value(now=now)

    def residence(self, service, *, now):
        """Return the mean seconds from a first event to the end, or 0.0."""
        residences = self.residences.get(service)
        return 0.0 if residences is None else residences.value(now=now)

    def admit(self, work, caller, *, now):
        """Return the Admission of a request by its work and CallerTime."""
        returning = self.returning.setdefault(work.service, ReturningCallers())
        latest_start = now + caller.left - work.prefill
        places = returning.work_before((work.priority, latest_start), now=now)
        # The other instances keep as many places as this one.
        scale = max(1, self.count_instances()) / work.engines
        queued = work._replace(first_event=work.first_event + scale * places)
        arriving = self.arriving.setdefault(work.service, ArrivingWork())
        expected = self.expect(queued, now=now)
        admission = admit(
            expected=expected,
            caller=caller,
            overtaking=scale * arriving.load_before(work.priority, now=now),
        )
        if admission.is_admitted:
            arriving.record(work.priority, work.prefill, now=now)
        elif admission.retry_after is not None and not work.gives_way:
            returns_at = now + admission.retry_after
            place = Place(work.priority, latest_start, work.prefill, returns_at)
            returning.keep(place)
        return admission._replace(expected=expected)

    def begin(self, key, work, *, now):
        """Begin to wait for the first event of some work."""
        self._error(work).begin(key, work.first_event, now=now)

    def end(self, key, work, *, now, has_event):
        """Record the first event of some work, or that it ended without."""
        self._error(work).end(key, now=now, has_happened=has_event)

    def record_answer(self, service, *, rounds, seconds, now):
        """Record the answer to a call.

        Parameters
        ----------
        service : str
        rounds : float
            Calls at its endpoint for each slot, at least 1: the times of calls
            that it takes if one waits for another.
        seconds : float
        now : float
        """
        answers = self.answers.setdefault(service, RecentRatio(half_life=HALF_LIFE))
        answers.add(seconds, rounds, now=now)

    def record_output(self, service, *, tokens, seconds, now):
        """Record a complete output of a request that may have had `tokens`."""
        residences = self.residences.setdefault(
            service, RecentRatio(half_life=HALF_LIFE)
        )
        residences.add(seconds, 1.0, now=now)
        if tokens:
            pace = self.outputs.setdefault(service, RecentRatio(half_life=HALF_LIFE))
            pace.add(seconds, tokens, now=now)

    def _error(self, work):
        # Less urgent requests are overtaken more often than forecast.
        return self.errors.setdefault((work.service, work.priority), ForecastError())
