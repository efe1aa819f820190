"""Calls to the platform's API that only one instance may make at a time."""

import time
from typing import Any, NamedTuple

import msgspec

from wagtailfront.duties.interfaces import DutyAnswer
from wagtailfront.platform.calls import call, describe_failure
from wagtailfront.transport.http_client import HttpPool

__all__ = ["DutyClient", "make_duty_pool"]

USAGE_PATH = "/usage"
ORDER_PATH = "/scale"
HOLDER = "X-Lease-Holder"
FENCING = "X-Fencing-Token"
# Seconds until a call counts as unanswered. The platform may be 50 times
# slower than usual; usage is due within 10 s of the end of its window.
CALL_TIMEOUT = 5.0
CONNECT_TIMEOUT = 1.0  # seconds
# Milliseconds after which the kernel gives up bytes that are unacknowledged.
# Else they could arrive seconds after a cut, when another instance holds the
# duties; see CALL_DELAY in `duties/holder.py`.
DELIVERY_TIMEOUT_MS = 750
# Part of the allowed rate that one holder uses: its successor has the other.
RATE_SHARE = 0.5
NOT_AVAILABLE = 409
BUSY_STATUSES = (408, 425, 429)  # a repeat may be accepted
MAX_BODY = 4096  # bytes of an answer


def make_duty_pool():
    """Return the HttpPool of a DutyClient, with one connection per call."""
    return HttpPool(
        channel="duty_calls",
        connect_timeout=CONNECT_TIMEOUT,
        max_idle=0,
        user_timeout_ms=DELIVERY_TIMEOUT_MS,
    )


class _Call(NamedTuple):
    """A call that waits for its turn."""

    duty: str
    path: str
    body: bytes
    hold: Any
    reply: Any


class DutyClient:
    """Implements `DutyCalls`.

    Parameters
    ----------
    pool : HttpPool
    address : (str, int)
        Of the platform's API.
    instance : str
        Name of this instance, sent as the holder.
    rate : float
        Calls per second that the platform allows to all instances together.
    timers : Timers
    log : DecisionLog
    metrics : Metrics
    clock : callable, optional
        Returns monotonic seconds.

    Notes
    -----
    Calls are sent at a steady pace, reports of usage first, since they are
    due at a certain time. Holder and fencing number are taken when a call is
    sent, and checked once more directly before its bytes are written.
    """

    def __init__(
        self,
        *,
        pool,
        address,
        instance,
        rate,
        timers,
        log,
        metrics,
        clock=time.monotonic,
    ):
        self.pool = pool
        self.address = address
        self.instance = instance
        self.interval = 1.0 / (rate * RATE_SHARE)
        self.timers = timers
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.waiting = {"usage": [], "fleet_size": []}
        self.next_send = float("-inf")
        self.timer = None

    def report_usage(self, window, counts, hold, reply):
        """Report the requests of each workspace in one window."""
        body = msgspec.json.encode({"window-id": window, "counts": dict(counts)})
        self._add(_Call("usage", USAGE_PATH, body, hold, reply))

    def order_engines(self, order, hold, reply):
        """Order engines of a service in a data centre."""
        wire = {
            "service": order.service,
            "zone": order.data_centre,
            "desired": order.count,
        }
        if order.is_spot:
            wire["spot"] = True
        self._add(
            _Call("fleet_size", ORDER_PATH, msgspec.json.encode(wire), hold, reply)
        )

    def _add(self, waiting_call):
        self.waiting[waiting_call.duty].append(waiting_call)
        if self.timer is None:
            self._send_next()

    def _send_next(self):
        """Send the next call if it is due, and have the others sent later."""
        self.timer = None
        queue = self.waiting["usage"] or self.waiting["fleet_size"]
        if not queue:
            return
        now = self.clock()
        if now >= self.next_send:
            self.next_send = now + self.interval
            self._send(queue.pop(0))
        if any(self.waiting.values()) and self.timer is None:
            delay = max(0.0, self.next_send - now)
            self.timer = self.timers.after(delay, self._send_next)

    def _send(self, due):
        grant = due.hold.grant()
        if grant is None:
            answer = DutyAnswer(False, reason="not the holder")
            self._settle(due, answer, outcome="not sent")
            return
        is_sent = False

        def may_send():
            nonlocal is_sent
            current = due.hold.grant()
            is_sent = current is not None and current.fencing == grant.fencing
            return is_sent

        def on_response(status, body):
            answer = _read(due.duty, status, body)
            outcome = _outcome(status, answer) if is_sent else "not sent"
            self._settle(due, answer, outcome=outcome)

        call(
            self.pool,
            on_response,
            max_body=MAX_BODY,
            host=self.address[0],
            port=self.address[1],
            method="POST",
            path=due.path,
            headers=(
                ("Content-Type", "application/json"),
                (HOLDER, self.instance),
                (FENCING, str(grant.fencing)),
            ),
            body=due.body,
            timeout=CALL_TIMEOUT,
            fresh=True,
            may_send=may_send,
        )

    def _settle(self, due, answer, *, outcome):
        self.metrics.count("duty_calls_total", duty=due.duty, outcome=outcome)
        if not answer.is_accepted:
            self.log.decision(
                "duty_call", outcome=outcome, duty=due.duty, reason=answer.reason
            )
        due.reply(answer)


def _read(duty, status, body):
    """Return the DutyAnswer of a response."""
    if status is not None and 200 <= status < 300:
        return DutyAnswer(True)
    reason = describe_failure(status, body)
    is_unavailable = status == NOT_AVAILABLE and duty == "fleet_size"
    is_final = status is not None and 400 <= status < 500
    return DutyAnswer(
        False,
        is_unavailable=is_unavailable,
        reason=reason,
        is_refused=is_final and not is_unavailable and status not in BUSY_STATUSES,
    )


def _outcome(status, answer):
    """Return the name of an answer in metrics and the log."""
    if answer.is_accepted:
        return "accepted"
    if answer.is_unavailable:
        return "unavailable"
    return "unanswered" if status is None else "refused"
