"""Choice of endpoints for one request."""

import math
from typing import NamedTuple

from wagtailfront.forwarding.placement import (
    EngineView,
    choose_least_loaded,
    plan_model_request,
)
from wagtailfront.forwarding.relay_groups import MAX_DIRECT_INSTANCES

__all__ = ["DECODE_STAGES", "EndpointChoice", "Refusal"]

DECODE_STAGES = ("decode", "")  # stages of engines that decode
MOST_URGENT = -1  # more urgent than any route's priority
MAX_LOGGED = 8  # ids of endpoints in a line of the log
RETRY_SPREAD = 0.5  # seconds, so that callers do not all retry at the same time

ALL_PAUSE = "all endpoints ask for a pause"
RATE_LIMITED = "the rate limits of all endpoints permit no send in time"
NO_DECODE_ENGINE = "no engine can decode"


class Refusal(NamedTuple):
    """Why no endpoint can be chosen, and when to retry, in seconds or None."""

    reason: str
    retry_after: float | None


class EndpointChoice:
    """Chooses endpoints for a request by directory, health, load and cache.

    Parameters
    ----------
    context : ForwardContext
    service : Service
    route : Route
    fields : RequestFields
    admission : RequestAdmission
    room : RequestRoom
    software_version : str, optional
        Version that began the stream, if it has begun.

    Attributes
    ----------
    software_version : str or None
        Only endpoints of this version may be chosen; None for any.
    priority : int
        Rank of the request, 0 for the most urgent.
    """

    def __init__(
        self,
        *,
        context,
        service,
        route,
        fields,
        admission,
        room,
        software_version=None,
    ):
        self.context = context
        self.service = service
        self.route = route
        self.fields = fields
        self.admission = admission
        self.room = room
        self.software_version = software_version
        self.priority = route.priority

    def views(self, *, without=(), stages=None):
        """Return views of the endpoints that may be chosen.

        Endpoints that leave, that pause for longer than the request can wait,
        or whose rate limit leaves them to other instances, are not.

        Parameters
        ----------
        without : collection of str, optional
            Incarnations to choose only if there are no others.
        stages : collection of str, optional
            Stages of engines to choose from; all by default.
        """
        waits = {
            record: wait
            for record in self.context.directory.find(self.service.name)
            if self.fits(record)
            and (stages is None or record.stage in stages)
            and (wait := self.wait(record)) < math.inf
        }
        chosen = self._usable(list(waits), without)
        if stages is None and all(r.stage not in DECODE_STAGES for r in chosen):
            # Engines that only prefill are no others to those that decode.
            decoding = [r for r in waits if r.stage in DECODE_STAGES]
            chosen += self._usable(decoding, without)
        ahead = self._waiting_by_engine(len(chosen))
        return [self._view(record, waits[record], ahead) for record in chosen]

    def _waiting_by_engine(self, engines):
        """Return the tokens of waiting requests before this one, by engine."""
        if not self.room.capacity:
            return 0.0
        latest_start = self.admission.latest_start()
        return self.room.tokens_before(self.admission.order, latest_start) / max(
            1, engines
        )

    def _usable(self, records, without):
        others = [r for r in records if r.incarnation not in without]
        return self.context.health.usable(others or records, now=self.context.clock())

    def fits(self, record):
        """Return whether an endpoint may add to the stream.

        One whose version is not known may only begin one.
        """
        version = self.software_version
        return version is None or bool(version) and record.software_version == version

    def _view(self, record, wait, ahead):
        now, load = self.context.clock(), self.context.load
        incarnation, urgency = record.incarnation, self.priority
        outstanding = load.outstanding(incarnation, now=now)
        is_remote = record.data_centre != self.context.data_centre
        if not self.service.is_model:
            return EngineView(record, outstanding, is_remote=is_remote, wait=wait)
        prefix_cache = self.context.prefix_caches[self.service.name]
        slowness = self.context.health.slowness(record, now=now)
        waiting = load.pending_before(incarnation, urgency, now=now)
        return EngineView(
            record,
            outstanding,
            pending_tokens=waiting
            + load.blocking_tokens(incarnation, urgency, now=now),
            cached_tokens=prefix_cache.cached_tokens(incarnation, self.fields.parts),
            slowness=slowness or 1.0,
            is_measured=slowness is not None,
            blocking_tokens=load.blocking_tokens(incarnation, MOST_URGENT, now=now),
            is_remote=is_remote,
            wait=wait,
            **self.room.view_fields(record, ahead=ahead, now=now),
        )

    def _staying(self):
        """Return the endpoints of the service that may get new work."""
        return [
            record
            for record in self.context.directory.find(self.service.name)
            if self.fits(record)
            and not self.context.notices.is_leaving(record.incarnation)
        ]

    def left_out(self):
        """Return which endpoints were left out as they leave or pause.

        Returns
        -------
        dict of str to list of str
            Some of their ids by the reason, for the log; empty if there are
            none.
        """
        notices = self.context.notices
        if not notices.has_any():
            return {}
        found = {"leaving": [], "pausing": []}
        for record in self.context.directory.find(self.service.name):
            if notices.is_leaving(record.incarnation):
                found["leaving"].append(record.endpoint_id)
            elif not notices.permits(record.incarnation):
                found["pausing"].append(record.endpoint_id)
        return {reason: ids[:MAX_LOGGED] for reason, ids in found.items() if ids}

    def is_available(self, record):
        """Return whether an endpoint that was chosen may still get work."""
        return (
            self.context.directory.is_current(record)
            and self.context.notices.permits(record.incarnation)
            and self.fits(record)
        )

    def refuse(self, *, stages=None):
        """Return the Refusal of a request without an endpoint to choose.

        Parameters
        ----------
        stages : collection of str, optional
            Stages of engines that were left to choose from; all by default.
        """
        staying = [r for r in self._staying() if stages is None or r.stage in stages]
        waits = [self.context.notices.wait(r.incarnation) for r in staying]
        if waits and min(waits):
            spread = self.context.rng.uniform(0.0, RETRY_SPREAD)
            return Refusal(
                ALL_PAUSE, self.admission.time_to_return(min(waits) + spread)
            )
        retry_after = self.admission.time_until_free()
        if self._staying():
            reason = RATE_LIMITED if stages is None else NO_DECODE_ENGINE
            return Refusal(reason, retry_after)
        records = self.context.directory.find(self.service.name)
        if any(map(self.fits, records)):
            return Refusal("all endpoints leave", retry_after)
        if records:
            version = self.software_version
            return Refusal(f"no endpoint has software version {version!r}", retry_after)
        return Refusal("no endpoint is registered", retry_after)

    def wait(self, record):
        """Return the seconds until an endpoint may be sent a request.

        Its pause and its rate limit can make it wait. Infinite if the request
        cannot wait for the end of the pause, or if other instances use up the
        rate limit.
        """
        incarnation = record.incarnation
        pause = self.context.notices.wait(incarnation)
        if pause and pause > self.admission.max_wait():
            return math.inf
        now = self.context.clock()
        return max(pause, self.context.rate_limits.wait(incarnation, now=now))

    def least_loaded(self, views):
        """Return the least loaded of `views`."""
        return choose_least_loaded(views, rng=self.context.rng)

    def plan(self, views, *, may_split):
        """Return the plan of a model request, or None without an engine."""
        return plan_model_request(
            views,
            self.fields.prompt_tokens,
            may_split=may_split,
            rng=self.context.rng,
            # Relayed loads arrive later than it takes to prefill a prompt.
            is_load_outdated=len(self.context.load.peers) >= MAX_DIRECT_INSTANCES,
            transfer_seconds=self.fields.prompt_tokens
            * self.service.transfer_seconds_per_token,
            residence=self.context.admission.residence(
                self.service.name, now=self.context.clock()
            ),
        )

    def record_cached_prompt(self, record):
        """Record, also for the peers, that an engine caches the prompt."""
        prefix_cache = self.context.prefix_caches[self.service.name]
        prefix_cache.record_prompt(record.incarnation, self.fields.parts)
        self.context.load.record_placement(record.incarnation, self.fields.parts)
