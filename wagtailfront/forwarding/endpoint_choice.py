"""Choice of endpoints for one request."""

import math

from wagtailfront.forwarding.admission import admit
from wagtailfront.forwarding.placement import (
    EngineView,
    choose_least_loaded,
    plan_model_request,
)
from wagtailfront.forwarding.relay_groups import MAX_DIRECT_INSTANCES

__all__ = ["DECODE_STAGES", "RATE_LIMITED", "EndpointChoice"]

DECODE_STAGES = ("decode", "")  # stages of engines that decode
RATE_LIMITED = "the rate limits of all endpoints permit no send in time"
MOST_URGENT = -1  # more urgent than any route's priority


class EndpointChoice:
    """Chooses endpoints for a request by directory, health, load and cache.

    Parameters
    ----------
    context : ForwardContext
    service : Service
    route : Route
    fields : RequestFields
    software_version : str, optional
        Version that began the stream, if it has begun.

    Attributes
    ----------
    software_version : str or None
        Only endpoints of this version may be chosen; None for any.
    """

    def __init__(self, *, context, service, route, fields, software_version=None):
        self.context = context
        self.service = service
        self.route = route
        self.fields = fields
        self.software_version = software_version

    def views(self, *, without=(), stages=None):
        """Return views of the endpoints that may be chosen.

        Endpoints whose rate limit leaves them to other instances are not.

        Parameters
        ----------
        without : collection of str, optional
            Incarnations to choose only if there are no others.
        stages : collection of str, optional
            Stages of engines to choose from; all by default.
        """
        records = [
            record
            for record in self.context.directory.find(self.service.name)
            if self.fits(record)
            and (stages is None or record.stage in stages)
            and self.wait(record) < math.inf
        ]
        chosen = self._usable(records, without)
        if stages is None and all(r.stage not in DECODE_STAGES for r in chosen):
            # Engines that only prefill are no others to those that decode.
            decoding = [r for r in records if r.stage in DECODE_STAGES]
            chosen += self._usable(decoding, without)
        return [self._view(record) for record in chosen]

    def _usable(self, records, without):
        others = [r for r in records if r.incarnation not in without]
        return self.context.health.usable(others or records, now=self.context.clock())

    def fits(self, record):
        """Return whether an endpoint may add to the stream.

        One whose version is not known may only begin one.
        """
        version = self.software_version
        return version is None or bool(version) and record.software_version == version

    def reason_for_none(self):
        """Return why there are no views."""
        records = self.context.directory.find(self.service.name)
        if not records:
            return "no endpoint is registered"
        if any(map(self.fits, records)):
            return RATE_LIMITED
        return f"no endpoint has software version {self.software_version!r}"

    def _view(self, record):
        now, load = self.context.clock(), self.context.load
        incarnation, urgency = record.incarnation, self.route.priority
        outstanding = load.outstanding(incarnation, now=now)
        is_remote = record.data_centre != self.context.data_centre
        wait = self.wait(record)
        if not self.service.is_model:
            return EngineView(record, outstanding, is_remote=is_remote, wait=wait)
        prefix_cache = self.context.prefix_caches[self.service.name]
        waiting = load.pending_before(incarnation, urgency, now=now)
        return EngineView(
            record,
            outstanding,
            pending_tokens=waiting
            + load.blocking_tokens(incarnation, urgency, now=now),
            cached_tokens=prefix_cache.cached_tokens(incarnation, self.fields.parts),
            slowness=self.context.health.state(incarnation).slowness,
            blocking_tokens=load.blocking_tokens(incarnation, MOST_URGENT, now=now),
            is_remote=is_remote,
            wait=wait,
        )

    def wait(self, record):
        """Return the seconds until an endpoint's rate limit permits a send."""
        return self.context.rate_limits.wait(
            record.incarnation, now=self.context.clock()
        )

    def least_loaded(self, views):
        """Return the record of the least loaded of `views`."""
        return choose_least_loaded(views, rng=self.context.rng).record

    def plan(self, views, *, may_split):
        """Return the plan of a model request, or None without an engine."""
        return plan_model_request(
            views,
            self.fields.prompt_tokens,
            may_split=may_split,
            rng=self.context.rng,
            # Relayed loads arrive later than it takes to prefill a prompt.
            is_load_outdated=len(self.context.load.peers) >= MAX_DIRECT_INSTANCES,
        )

    def admit(self, expected, *, time_left):
        """Return the Admission of a model request.

        Parameters
        ----------
        expected, time_left : float
            Seconds until the first event and until the caller's deadline.
        """
        return admit(
            expected=expected,
            route=self.route,
            time_left=time_left,
            limits=self.context.limits,
            rng=self.context.rng,
        )

    def record_cached_prompt(self, record):
        """Record, also for the peers, that an engine caches the prompt."""
        prefix_cache = self.context.prefix_caches[self.service.name]
        prefix_cache.record_prompt(record.incarnation, self.fields.parts)
        self.context.load.record_placement(record.incarnation, self.fields.parts)
