"""Stand-in platform: table, object store and instance list."""

import json
import logging
import time

from circuits.core import BaseComponent, Event, Timer, handler
from circuits.core.pollers import EPoll
from circuits.net.events import close
from circuits.web.events import response

from wagtailfront.observe.log import start_logging
from wagtailfront.programs.settings import (
    Address,
    HostPort,
    Name,
    Rate,
    Seconds,
)
from wagtailfront.serving.http_server import HttpServer
from wagtailfront.standins.fault_plan import FaultPlan, RateLimit, parse_fault
from wagtailfront.standins.http_message import HttpReply, HttpRequest, json_reply
from wagtailfront.standins.instance_list import InstanceList
from wagtailfront.standins.object_service import ObjectService
from wagtailfront.standins.table_service import (
    TableService,
    error_reply,
    operation_name,
)

__all__ = ["StandinPlatform", "platform"]

logger = logging.getLogger(__name__)

CHANNEL = "platform"
CONTROL_PATHS = ("/faults", "/counters", "/restore")
DEFAULT_BIND = HostPort("127.0.0.1", 20_000)
WRITES_PER_SECOND = 300.0  # write limit of the platform that the design assumes
READS_PER_SECOND = 2_000.0


class perform(Event):
    """Perform a delayed request."""


class StandinPlatform(BaseComponent):
    """HTTP server for all parts of the platform on one port.

    Parameters
    ----------
    bind : (str, int)
    name : str
        Name of the table and of the bucket.
    writes, reads : float
        Limits per second over table, objects and instance list together;
        0 means no limit.
    list_delay : float
        Seconds after which readers of the instance list see a change.
    channel : str
    clock : callable
        Returns monotonic seconds.

    Notes
    -----
    `POST /` accesses the table, `/<bucket>/<key>` an object and `/instances`
    the list of instances. `POST /faults` starts a fault, `DELETE /faults`
    ends all faults and `GET /counters` returns the request counts by part.
    `POST /restore` lets the table come back from a copy that is as old as the
    number of seconds in the body. Faults and rate limits do not apply to
    these three.
    """

    def __init__(
        self,
        *,
        bind,
        name="wagtailfront",
        writes=WRITES_PER_SECOND,
        reads=READS_PER_SECOND,
        list_delay=0.0,
        channel=CHANNEL,
        clock=time.monotonic,
    ):
        super().__init__(channel=channel)
        self.clock = clock
        self.table = TableService(table=name)
        self.objects = ObjectService(bucket=name)
        self.instances = InstanceList(delay=list_delay)
        self.faults = FaultPlan()
        self.limits = {"write": RateLimit(rate=writes), "read": RateLimit(rate=reads)}
        self.counters = {}
        self.server = HttpServer(bind=bind, channel=channel).register(self)

    @property
    def port(self):
        return self.server.port

    @handler("request")
    def _on_request(self, req, res):
        headers = {key.lower(): value for key, value in req.headers.items()}
        message = HttpRequest(req.method, req.path, headers, req.body.read())
        if req.path in CONTROL_PATHS:
            return self._answer(res, self._handle_control(message))
        part, kind = _classify(message)
        self._count(f"{part}_{kind}")
        effect = self.faults.effect_on(part, now=self.clock())
        if not effect.perform:
            self._count("outage")
            if effect.answer == "refuse":
                return self._answer(res, _rejection(part, "ServiceUnavailable", 503))
            return self._withhold_reply(res, effect.answer)
        event = perform(part, kind, message, res, effect.answer)
        if effect.delay:
            Timer(effect.delay, event, self.channel).register(self)
        else:
            self._on_perform(*event.args)
        return True

    @handler("perform")
    def _on_perform(self, part, kind, message, res, answer):
        now = self.clock()
        if not self.limits[kind].take(1, now=now):
            self._count("throttled")
            self._answer(res, _throttling_error(part))
            return
        if part == "table":
            reply = self.table.handle(message, now=now)
        elif part == "objects":
            reply = self.objects.handle(message)
        else:
            reply = self.instances.handle(message, now=now)
        if answer == "reply":
            self._answer(res, reply)
        else:
            self._count("answers_lost")
            self._withhold_reply(res, answer)

    def _handle_control(self, message):
        """Return the reply to a request for one of CONTROL_PATHS."""
        if message.path == "/counters":
            return json_reply(200, self.counters)
        if message.path == "/restore":
            return self._restore(message)
        if message.method == "DELETE":
            self.faults.clear()
        elif message.method == "POST":
            try:
                fault = parse_fault(json.loads(message.body))
            except (ValueError, TypeError, RecursionError) as error:
                return json_reply(400, {"error": str(error)})
            logger.info("[platform] Started fault %s.", fault)
            self.faults.start(fault, now=self.clock())
        listed = [fault._asdict() for _end, fault, _rng in self.faults.active]
        return json_reply(200, {"faults": listed})

    def _restore(self, message):
        try:
            lost = float(message.body)
        except ValueError as error:
            return json_reply(400, {"error": str(error)})
        self.table.restore(lost=lost, now=self.clock())
        logger.info("[platform] The table lost the last %g seconds.", lost)
        return json_reply(200, {"era": self.table.era})

    def _answer(self, res, reply):
        res.status = reply.status
        for name, value in reply.headers.items():
            res.headers[name] = value
        res.body = reply.body
        self.fire(response(res))
        return True

    def _withhold_reply(self, res, answer):
        if answer == "close":
            self.fire(close(res.request.sock))
        return True

    def _count(self, name):
        self.counters[name] = self.counters.get(name, 0) + 1


def _classify(message):
    """Return the part that a request addresses, and `read` or `write`."""
    if message.path.split("/")[1:2] == ["instances"]:
        return "instances", "read" if message.method == "GET" else "write"
    if message.method == "POST" and message.path == "/":
        is_write = operation_name(message) == "TransactWriteItems"
        return "table", "write" if is_write else "read"
    return "objects", "read" if message.method == "GET" else "write"


def _throttling_error(part):
    if part == "table":
        return _rejection(part, "ProvisionedThroughputExceededException", 400)
    return _rejection(part, "SlowDown", 503)


def _rejection(part, code, status):
    if part == "table":
        return error_reply(code, "refused", status=status)
    body = f"<Error><Code>{code}</Code><Message>refused</Message></Error>"
    return HttpReply(status, {"Content-Type": "application/xml"}, body.encode())


def platform(
    *,
    bind: Address = DEFAULT_BIND,
    name: Name = "wagtailfront",
    writes: Rate = WRITES_PER_SECOND,
    reads: Rate = READS_PER_SECOND,
    list_delay: Seconds = 5.0,
):
    """Serve the platform's table, object store and instance list.

    Parameters
    ----------
    bind : Address
        IP address and port to listen on.
    name : Name
        Name of the table and of the bucket.
    writes : Rate
        Maximum writes per second over all parts; 0 for no limit.
    reads : Rate
        Maximum reads per second over all parts; 0 for no limit.
    list_delay : Seconds
        Seconds after which readers of the instance list see a change.
    """
    start_logging()
    standin = StandinPlatform(
        bind=tuple(bind), name=name, writes=writes, reads=reads, list_delay=list_delay
    )
    # circuits' default poller is select, which is limited to 1,024 files.
    EPoll().register(standin)
    logger.info("[platform] Listening on %s.", bind)
    standin.run()
