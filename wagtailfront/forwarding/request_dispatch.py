"""Choice of the endpoint for each send of one request."""

import math

from wagtailfront.admission.request_admission import ROUND_TRIP, RequestAdmission
from wagtailfront.forwarding.attempt import PrefillAttempt, RunAttempt
from wagtailfront.forwarding.endpoint_choice import (
    DECODE_STAGES,
    EndpointChoice,
)
from wagtailfront.forwarding.request_sender import RequestSender
from wagtailfront.room.forecast import with_room
from wagtailfront.room.request_room import DECODE, RequestRoom

__all__ = ["GATEWAY_TIMEOUT", "MAX_SENDS", "POISON_RETRY_AFTER", "RequestDispatch"]

MAX_SENDS = 4  # sends of one request, including those that did not run it
POISON_RETRY_AFTER = 5.0  # seconds; for requests that crash endpoints
GATEWAY_TIMEOUT = 504


class RequestDispatch:
    """Sends a request to the best endpoint, or gives it up without one.

    Parameters
    ----------
    task : ForwardTask
    software_version : str, optional
        Version that began the stream, if the caller resumes one.

    Attributes
    ----------
    tried : set of str
        Incarnations that are chosen again only if there are no others.
    kv_source : str or None
        Where the next endpoint fetches the KV cache of the prompt.
    admission : RequestAdmission
    room : RequestRoom
    """

    def __init__(self, *, task, software_version=None):
        self.task = task
        self.admission = RequestAdmission(
            control=task.context.admission,
            service=task.service.name,
            rank=task.route.priority,
            patience=task.route.max_first_event_wait,
            output_tokens=task.fields.max_output_tokens,
            workspace=task.fields.workspace,
            rng=task.context.rng,
            received=task.received,
            deadline=task.deadline,
            clock=task.context.clock,
        )
        self.room = RequestRoom(
            control=task.context.room,
            service=task.service,
            kind=task.route.name,
            fields=task.fields,
        )
        self.choice = EndpointChoice(
            context=task.context,
            service=task.service,
            route=task.route,
            fields=task.fields,
            admission=self.admission,
            room=self.room,
            software_version=software_version,
        )
        self.sender = RequestSender(task=task)
        self.tried = set()
        self.kv_source = None
        self.prefill_version = ""
        self.plan = None

    def dispatch(self):
        """Send the request to the best endpoint, or give it up."""
        task = self.task
        if task.deadline - task.context.clock() < ROUND_TRIP:
            task.give_up("no time left to send it", None, GATEWAY_TIMEOUT)
            return
        if task.sends >= MAX_SENDS:
            task.give_up("no endpoint accepted it", self.admission.time_until_free())
            return
        if self._send_to_peer():
            return
        views = self._find_views()
        if not views:
            self._refuse(*self.choice.refuse())
        elif task.service.is_model:
            self._dispatch_model(views)
        else:
            self._dispatch_call(views)

    def dispatch_again(self):
        """Choose another endpoint for a send that was not made."""
        if self.kv_source is None:
            self.dispatch()
        else:
            self._dispatch_decode()

    def dispatch_prefilled(self):
        """Run the request at an engine that decodes, after its prefill."""
        decode = self.plan.decode
        is_ready = self.choice.is_available(decode) and not self.choice.wait(decode)
        if self.kv_source is not None and is_ready:
            self.choice.record_cached_prompt(decode)
            self._send(RunAttempt, decode)
        else:
            self._dispatch_decode()

    def leave_out(self, attempt):
        """Choose the endpoint of an attempt again only without another one."""
        self.kv_source = None
        self.tried.add(attempt.record.incarnation)

    def has_other(self, attempt, *, stages=None):
        """Return whether there is an endpoint besides that of an attempt.

        Parameters
        ----------
        attempt : Attempt
        stages : collection of str, optional
            Stages of engines that count; all by default.
        """
        own = attempt.record.incarnation
        views = self.choice.views(without={*self.tried, own}, stages=stages)
        return any(view.record.incarnation != own for view in views)

    def give_up_on_crashing_part(self):
        """End the request if a part of its prompt crashes engines."""
        task = self.task
        part = task.context.crashing_parts.find_refused(
            task.fields.shared_parts, now=task.context.clock()
        )
        if part is not None:
            reason = f"part {part} of its prompt crashes engines"
            task.give_up(reason, POISON_RETRY_AFTER)
        return part is not None

    def _find_views(self, *, stages=None):
        """Return views of endpoints, of tried ones only if there is no other.

        The endpoint of a held attempt is never among them.
        """
        left_out = self.choice.left_out()
        if left_out:
            self.task.log.decision("left_out", "leaves or asks for a pause", **left_out)
        views = self.choice.views(without=self.tried, stages=stages)
        held = self.task.silence.held
        incarnation = held and held.record.incarnation
        return [v for v in views if v.record.incarnation != incarnation]

    def _dispatch_call(self, views):
        """Send a call to a plain service, unless the answer would be late."""
        view = self.choice.least_loaded(views)
        admission = self.admission.admit_call(
            outstanding=view.outstanding, slots=view.record.slots, wait=view.wait
        )
        if admission.is_admitted:
            self._send(RunAttempt, view.record)
            return
        self.task.log.decision(
            "not_admitted",
            "its caller would not wait for it",
            time_left=round(self.task.deadline - self.task.context.clock(), 3),
            endpoint=view.record.endpoint_id,
            outstanding=view.outstanding,
            wait=round(view.wait, 3),
            **admission.inputs,
        )
        self._refuse("the answer would be late", admission.retry_after)

    def _dispatch_model(self, views):
        task = self.task
        may_split = task.stream.last_event_id is None and not task.runs
        self.room.release(DECODE)
        plan = self.choice.plan(views, may_split=may_split)
        if plan is None:
            self._refuse(*self.choice.refuse(stages=DECODE_STAGES))
            return
        if not plan.has_room:
            self._wait_for_room(views, plan)
            return
        if plan.prefill and not task.reserve(task.credit.cost(is_split=True)):
            plan = self.choice.plan(views, may_split=False)
        self.plan = plan
        first_engine = plan.prefill or plan.decode
        if not task.stream.is_started and not self._admit(plan, first_engine):
            return
        if plan.prefill is not None:
            self.room.hold(DECODE, plan.decode)
        self.choice.record_cached_prompt(first_engine)
        attempt_type = RunAttempt if plan.prefill is None else PrefillAttempt
        self._send(
            attempt_type,
            first_engine,
            uncached_tokens=plan.uncached_tokens,
            expected=plan.expected,
        )

    def _wait_for_room(self, views, plan=None):
        """Wait until an engine has room, if its caller waits so long."""
        task, room = self.task, self.room
        latest_start = self.admission.latest_start()
        wait = room.seconds_until_room(
            views, rank=self.admission.order, latest_start=latest_start
        )
        inputs = {
            "wait": round(wait, 3),
            "free": max(round(view.free_tokens) for view in views),
            "needed": min(view.needed_tokens for view in views),
            "waiting": task.context.room.waiting.count(),
        }
        is_first = plan is not None and not room.has_waited
        if is_first and not task.stream.is_started:
            first = plan.prefill or plan.decode
            if not self._admit(plan, first, room_wait=wait):
                return
        expected = plan.expected if plan is not None and plan.is_measured else 0.0
        if wait + expected >= self.admission.max_wait():
            task.log.decision("no_room", "refused", **inputs)
            task.context.metrics.count("room_total", outcome="refused")
            self._refuse("no engine has room", self.admission.time_to_return(wait))
            return
        if not room.has_waited:
            task.log.decision("no_room", "waits", **inputs)
            task.context.metrics.count("room_total", outcome="waited")
        room.wait(
            lambda: task.run(self._dispatch_with_room),
            rank=self.admission.order,
            latest_start=latest_start - expected,
        )

    def _dispatch_with_room(self):
        if not self.task.is_done:
            self.dispatch_again()

    def _dispatch_decode(self):
        """Run the request at an engine that decodes."""
        task = self.task
        views = self._find_views(stages=DECODE_STAGES)
        if self.kv_source is not None:
            version = self.prefill_version
            fitting = [v for v in views if v.record.software_version == version]
            if not fitting:
                task.log.decision(
                    "prefill_unused", "no decode engine of its version", version=version
                )
                self.kv_source = None
            views = fitting or views
        if not views or task.sends >= MAX_SENDS:
            self._refuse(*self.choice.refuse(stages=DECODE_STAGES))
        elif with_room(views):
            record = self.choice.least_loaded(with_room(views)).record
            self._send(RunAttempt, record)
        else:
            self._wait_for_room(views)

    def _admit(self, plan, first_engine, room_wait=None):
        """Return whether the request is admitted; refuse it otherwise.

        `room_wait` is how long it waits for room, in seconds; None if it is
        sent at once.
        """
        task = self.task
        # Nothing is refused by a nominal time.
        expected = plan.wait + (plan.expected if plan.is_measured else 0.0)
        if room_wait is not None:
            admission = self.admission.admit_to_wait(
                expected, room_wait, prefill=plan.work
            )
            expected += room_wait
        else:
            admission = self.admission.admit(
                expected, prefill=plan.work, engines=plan.engines
            )
        if not admission.is_admitted and self.admission.raise_rank(task.context.rng):
            self.choice.priority = self.admission.priority
            task.log.decision("rank_raised", "its rank is starved")
            self.dispatch()
        elif not admission.is_admitted:
            task.log.decision(
                "not_admitted",
                "its caller would not wait for it",
                time_left=round(task.deadline - task.context.clock(), 3),
                forecast=round(expected, 3),
                endpoint=first_engine.endpoint_id,
                unread=plan.uncached_tokens,
                peers=len(task.context.load.peers),
                **admission.inputs,
                **task.log.input_ages(),
            )
            reason = f"a first event is expected after {expected:.2f} s"
            self._refuse(reason, admission.retry_after)
        return admission.is_admitted

    def _refuse(self, reason, retry_after):
        """Give the request up since no endpoint can serve it in time."""
        self.task.context.work.record_refusal(self.task.service.name)
        self.task.give_up(reason, retry_after)

    def _send_to_peer(self):
        """Send the request to a peer if this instance reaches no endpoint."""
        peer = self.task.proxy.find()
        if peer is not None:
            self.task.proxy.send(peer)
        return peer is not None

    def _send(self, attempt_type, record, uncached_tokens=0, expected=0.0):
        task = self.task
        if self.give_up_on_crashing_part() or self._send_to_peer():
            return
        if not task.reserve(1):
            retry_after = self.admission.time_until_free()
            task.give_up("the repeat budget is spent", retry_after)
            return
        wait = self.sender.send(
            attempt_type, record, uncached_tokens=uncached_tokens, expected=expected
        )
        if wait == math.inf:
            self._refuse(*self.choice.refuse())
