"""Routing of accepted requests to their tasks."""

import functools
import logging
import math
from collections import defaultdict

from wagtailfront.forwarding.attempt_budget import AttemptBudget
from wagtailfront.forwarding.forward_task import (
    DEADLINE_GRACE,
    OTHER_INSTANCE_RETRY_AFTER,
    ForwardTask,
    time_limit,
)
from wagtailfront.forwarding.prefix_cache import PrefixCacheEstimate
from wagtailfront.forwarding.proxy_headers import (
    unreached_headers,
    without_proxy_headers,
)
from wagtailfront.forwarding.resumption import (
    find_origin,
    is_resumption,
    named_origin,
    refusal,
)
from wagtailfront.forwarding.routes import RouteTable, choose_service
from wagtailfront.serving.caller_limits import LimitsInForce, fit_body
from wagtailfront.workspaces.key_check import KeyCheck, KeyedRequest, KeyRefusal

__all__ = ["Forwarder", "AttemptBudgets", "PrefixCachesByService"]

logger = logging.getLogger(__name__)

UNCONFIGURED_RETRY_AFTER = 0.5  # seconds; about one read of the configuration
HEAD = b"HEAD"  # its answer has no body
BAD_REQUEST, UNAUTHORIZED, NOT_FOUND, UNAVAILABLE = 400, 401, 404, 503


class AttemptBudgets(defaultdict):
    """Budget of repeats by service, created on first use.

    Parameters
    ----------
    **limits
        As of an AttemptBudget.
    """

    def __init__(self, **limits):
        super().__init__(lambda: AttemptBudget(**limits))


class PrefixCachesByService(dict):
    """Estimated prefix caches of the engines, by model service."""

    def add_services(self, services):
        """Add the model services of a configuration."""
        for name, service in services.items():
            if service.is_model and name not in self:
                self[name] = PrefixCacheEstimate(
                    capacity_tokens=service.kv_capacity_tokens
                )

    def forget(self, record):
        """Remove an engine that is gone."""
        if record.service in self:
            self[record.service].forget(record.incarnation)


class Forwarder:
    """Routes each request and starts its task.

    Parameters
    ----------
    context : ForwardContext
    key_check : KeyCheck, optional
        By default one without a bound on the configuration's age.
    shares : MemoryShares, optional
        Bounds the largest body; by default only the configuration does.

    Attributes
    ----------
    limits : LimitsInForce
    config_applied_at : float or None
        Time of the latest change of the configuration.
    serves_until : float
        Time at which the instance stops.
    refuses_from : float
        Time from which requests are refused that may take longer.
    """

    def __init__(self, *, context, key_check=None, shares=None):
        self.context = context
        self.shares = shares
        self.key_check = key_check or KeyCheck(
            dialect=context.dialect, log=context.log, metrics=context.metrics
        )
        self.serves_until = math.inf
        self.refuses_from = math.inf
        self.config = None
        self.config_era = 0
        self.config_applied_at = None
        self.table = None
        self.limits = LimitsInForce()
        self.tasks = set()

    def apply_config(self, config, *, era=0):
        """Apply a configuration if it is newer than the current one.

        A higher version is newer in any era of the store, as the operator
        counts on after a restore. The same version is newer in a later era
        if it was given out again with other contents. A lower one is that of
        an older copy.

        Parameters
        ----------
        config : RoutingConfig
        era : int, optional
            Era of the store in which it was read.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if not self._is_newer(config, era):
            return False
        before, self.config, self.config_era = self.config, config, era
        self.key_check.record_config(before and before.workspaces, config.workspaces)
        self.table = RouteTable(config.routes)
        self.config_applied_at = self.context.clock()
        limits = config.limits
        if self.shares is not None:
            limits = fit_body(limits, shares=self.shares, log=self.context.log)
        self.limits.replace(limits, now=self.config_applied_at)
        self.context.prefix_caches.add_services(config.services)
        self.context.admission.set_routes(config.routes, config.workspaces)
        return True

    def _is_newer(self, config, era):
        if self.config is None or era < self.config_era:
            return self.config is None
        if config.version == self.config.version:
            return era > self.config_era and config != self.config
        return config.version > self.config.version

    def accept(self, request, reply, instructions=None):
        """Start a request; return its task, or None if it was rejected.

        `instructions` are those of a peer, if the request is of its caller.
        Headers that look like such are removed from the request.
        """
        headers = without_proxy_headers(request.headers)
        request = request._replace(headers=headers)
        try:
            task = self._make_task(request, reply, instructions)
        except Exception:
            # A fault in one request must not stop the others.
            logger.exception("[forward] Failed to start a request.")
            self._answer(reply, "", UNAVAILABLE, "fault of this instance")
            return None
        if task is not None:
            self.tasks.add(task)
            task.run(task.begin)
        return task

    def _make_task(self, request, reply, instructions):
        """Return a request's task, or None if it was rejected."""
        answer = functools.partial(
            self._answer, reply, is_proxied=instructions is not None
        )
        try:
            fields = self.context.dialect.read_request(request.headers)
            path = request.target.partition(b"?")[0].decode("ascii")
        except ValueError as error:
            answer("", BAD_REQUEST, str(error))
            return None
        if self.config is None:
            answer(fields.request_id, UNAVAILABLE, "no configuration yet")
            return None
        route = self.table.find(fields.host, path)
        if route is None:
            answer(fields.request_id, NOT_FOUND, "no route")
            return None
        if instructions is not None and not route.leads_to(instructions.service):
            answer(fields.request_id, UNAVAILABLE, "another configuration")
            return None
        keyed = self.key_check.check(
            KeyedRequest(request, fields, route), self.config.workspaces, instructions
        )
        if isinstance(keyed, KeyRefusal):
            body = b"" if request.method == HEAD else keyed.reason.encode()
            answer(fields.request_id, keyed.status, keyed.reason, body=body)
            return None
        return self._make_routed_task(*keyed, reply, instructions)

    def _make_routed_task(self, request, fields, route, reply, instructions):
        """Return the task of a request that is allowed, or None."""
        answer = functools.partial(
            self._answer, reply, is_proxied=instructions is not None
        )
        origin = None
        if is_resumption(fields, route):
            origin = named_origin(instructions) or find_origin(
                fields, route, self.context
            )
            if not self._may_resume(origin, fields, route, reply):
                return None
        service = self.config.services.get(
            self._choose_service(route, origin, instructions)
        )
        if service is None:
            answer(fields.request_id, UNAVAILABLE, "no such service")
            return None
        if self._may_outlast(time_limit(route, fields) + DEADLINE_GRACE):
            answer(
                fields.request_id,
                UNAVAILABLE,
                "the instance stops",
                retry_after=OTHER_INSTANCE_RETRY_AFTER,
            )
            return None
        return ForwardTask(
            request=request,
            fields=fields,
            route=route,
            service=service,
            reply=reply,
            context=self.context,
            on_done=self._on_done,
            config_version=self.config.version,
            origin=origin,
            instructions=instructions,
        )

    def _choose_service(self, route, origin, instructions):
        """Return the name of the service that a request goes to."""
        if origin is not None:
            return origin.service
        if instructions is not None:
            return instructions.service
        return choose_service(route, rng=self.context.rng)

    def _may_outlast(self, longest):
        """Return whether a request of so many seconds may be cut by a stop."""
        now = self.context.clock()
        return now >= self.refuses_from and now + longest > self.serves_until

    def _may_resume(self, origin, fields, route, reply):
        """Return whether a stream may go on; refuse the request otherwise."""
        self.context.log.decision(
            "resumption",
            request=fields.request_id,
            outcome=origin.source if origin else "unknown",
            stream=fields.resumes,
            after=fields.last_event_id,
            service=origin and origin.service,
            version=origin and origin.software_version,
            began=origin and origin.age,
        )
        refused = refusal(origin, route, self.context)
        if refused is None:
            return True
        self.context.metrics.count("resumptions_refused_total", reason=refused.kind)
        self._answer(
            reply,
            fields.request_id,
            UNAVAILABLE,
            refused.reason,
            retry_after=refused.retry_after,
        )
        return False

    def _answer(
        self,
        reply,
        request_id,
        status,
        reason,
        retry_after=UNCONFIGURED_RETRY_AFTER,
        is_proxied=False,
        body=b"",
    ):
        self.context.log.decision(
            "rejected",
            request=request_id,
            outcome=reason,
            status=status,
            config=self.config and self.config.version,
        )
        headers = []
        if status == UNAVAILABLE:
            headers = self.context.dialect.refusal_headers(retry_after)
        elif status == UNAUTHORIZED:
            headers = self.context.dialect.unauthorized_headers()
        if is_proxied:
            headers += unreached_headers()
        reply.answer(status, headers, body)

    def refusal(self, status, retry_after=None):
        """Return headers and body of an answer of the server itself."""
        return self.context.dialect.refusal_headers(retry_after), b""

    def request_id(self, request):
        """Return the id of a request, or None if it is unreadable."""
        try:
            return self.context.dialect.read_request(request.headers).request_id
        except ValueError:
            return None

    def log_fields(self, now):
        """Return version and age of the configuration in force."""
        config, applied_at = self.config, self.config_applied_at
        return {
            "config": None if config is None else config.version,
            "config_age": None if applied_at is None else round(now - applied_at, 3),
        }

    def _on_done(self, task):
        self.tasks.discard(task)
