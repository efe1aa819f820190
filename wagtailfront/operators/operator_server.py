"""HTTP server for operators' calls."""

import hmac
import logging
import time
from typing import NamedTuple

from circuits.core import BaseComponent, Event, handler
from circuits.web.events import response

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_state import Configuration
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.calls import CHANGE_CALLS, read_change
from wagtailfront.operators.connect import (
    MAX_MESSAGE,
    CallResponse,
    ConnectError,
    decode_call,
    encode_error,
    encode_response,
)
from wagtailfront.operators.messages import (
    configuration_to_message,
    outcome_to_message,
    to_message,
)
from wagtailfront.operators.operator_tokens import read_tokens, token_digest
from wagtailfront.outcome import Verdict
from wagtailfront.serving.http_server import HttpServer, ServerLimits
from wagtailfront.transport.ticker import Ticker

__all__ = [
    "EndpointStatus",
    "InstanceStatus",
    "OperatorServer",
    "read_tokens",
    "token_digest",
]

logger = logging.getLogger(__name__)

PREFIX = "/wagtailfront.v1.Operators/"
# Calls above MAX_MESSAGE get an error response of the protocol; those above
# MAX_BODY are rejected before they are read.
MAX_BODY = 2 * MAX_MESSAGE
# Seconds until a proposal counts as lost; an outcome takes up to 7 s.
OUTCOME_TIMEOUT = 10.0
TIMEOUT_CHECK_INTERVAL = 1.0  # seconds
PROPOSAL_LOST = effects.Unavailable(
    reason="the proposal was lost; repeat it with the same change id",
    verdict=Verdict.MAY_HAVE_RUN,
)


class check_timeouts(Event):
    """Check for proposals without an outcome."""


class WaitingCalls(NamedTuple):
    """Calls that wait for the outcome of one proposal.

    Attributes
    ----------
    timeout_at : float
        Clock time in seconds after which the proposal counts as lost.
    responses : list of (response, str)
        Open HTTP responses with their content types.
    """

    timeout_at: float
    responses: list


class EndpointStatus(NamedTuple):
    """What an instance knows about an engine or endpoint."""

    name: str
    running: int = 0
    waiting: int = 0
    report_age: float | None = None
    ejected: bool = False
    change_step: str = ""


class InstanceStatus(NamedTuple):
    """What an instance reports about itself and the fleet."""

    instance: str
    data_centre: str
    confirmed: bool
    configuration: Configuration
    endpoints: tuple[EndpointStatus, ...] = ()
    leases: tuple[str, ...] = ()


class OperatorServer(BaseComponent):
    """Serves the calls of the protobuf service `Operators`.

    Parameters
    ----------
    bind : (str, int)
    tokens : mapping of str to str
        Operators' names by the SHA-256 of their token; see `read_tokens`.
        If empty, every call is rejected.
    propose : callable
        Called with the keywords change, base_version, change_id, author and
        reply; calls reply once with an outcome of `config_effects`.
    read_status : callable
        Returns the current InstanceStatus.
    read_burns : callable
        Returns the current list of Burn.
    pages : mapping of str to callable, optional
        Health checks and metrics by path, served to GET without a token;
        each returns status, content type and body.
    context : ssl.SSLContext, optional
    memory : IntakeMemory, optional
    metrics : Metrics, optional
        As of an HttpServer.
    channel : str
    clock : callable
        Returns monotonic seconds.
    """

    channel = "operators"

    def __init__(
        self,
        *,
        bind,
        tokens,
        propose,
        read_status,
        read_burns=list,
        pages=None,
        context=None,
        memory=None,
        metrics=None,
        channel=channel,
        clock=time.monotonic,
    ):
        super().__init__(channel=channel)
        self.tokens = dict(tokens)
        self.propose = propose
        self.read_status = read_status
        self.read_burns = read_burns
        self.pages = dict(pages or {})
        self.clock = clock
        # By change id. A repeated call waits with the first one.
        self.waiting = {}
        Ticker(
            interval=TIMEOUT_CHECK_INTERVAL, make_event=check_timeouts, target=channel
        ).register(self)
        self.server = HttpServer(
            bind=bind,
            channel=channel,
            context=context,
            limits=ServerLimits(max_body=MAX_BODY, max_connections=200),
            memory=memory,
            metrics=metrics,
        ).register(self)

    @property
    def port(self):
        return self.server.port

    @handler("request")
    def _on_request(self, req, res):
        if req.method == "GET" and req.path in self.pages:
            status, content_type, body = self.pages[req.path]()
            return self._send(
                res, CallResponse(status, {"Content-Type": content_type}, body)
            )
        try:
            self._handle_call(req, res)
        except ConnectError as error:
            logger.info("[operators] Rejected %r: %s.", req.path[:100], error)
            self._send(res, encode_error(error))
        return True

    def _handle_call(self, req, res):
        if not req.path.startswith(PREFIX):
            raise ConnectError("not_found", "there is no such path")
        if req.method != "POST":
            raise ConnectError("unimplemented", "use POST", status=405)
        author = self._authenticate(req.headers.get("authorization", ""))
        method, body = req.path.removeprefix(PREFIX), req.body.read()
        if method == "GetStatus":
            self._get_status(req, res, body)
        elif method == "GetBurn":
            self._get_burn(req, res, body)
        elif method in CHANGE_CALLS:
            self._handle_change(req, res, body, method, author)
        else:
            raise ConnectError("unimplemented", "there is no such method")

    def _authenticate(self, header):
        """Return the name of the operator whose token the header has."""
        scheme, _, token = header.partition(" ")
        digest = token_digest(token.strip())
        names = [
            name
            for known, name in self.tokens.items()
            if hmac.compare_digest(known, digest)
        ]
        if scheme.lower() != "bearer" or not names:
            raise ConnectError("unauthenticated", "a valid bearer token is needed")
        return names[0]

    def _get_status(self, req, res, body):
        _request, content_type = decode_call(req.headers, body, pb.GetStatusRequest)
        status = self.read_status()
        message = pb.StatusReply(
            instance=status.instance,
            data_centre=status.data_centre,
            confirmed=status.confirmed,
            configuration=configuration_to_message(status.configuration),
            endpoints=(
                to_message(entry, pb.EndpointStatus) for entry in status.endpoints
            ),
            leases=status.leases,
        )
        self._send(res, encode_response(message, content_type))

    def _get_burn(self, req, res, body):
        request, content_type = decode_call(req.headers, body, pb.GetBurnRequest)
        burns = [
            to_message(burn, pb.Burn)
            for burn in self.read_burns()
            if request.service in ("", burn.service)
        ]
        self._send(res, encode_response(pb.BurnReply(burns=burns), content_type))

    def _handle_change(self, req, res, body, method, author):
        """Propose the change of a call; `_send_outcome` responds later."""
        call = CHANGE_CALLS[method]
        request, content_type = decode_call(req.headers, body, call.request)
        config = self.read_status().configuration
        proposed = read_change(call, request, config)
        change_id = proposed.change_id
        if change_id in self.waiting:
            self.waiting[change_id].responses.append((res, content_type))
            return
        timeout_at = self.clock() + OUTCOME_TIMEOUT
        self.waiting[change_id] = WaitingCalls(timeout_at, [(res, content_type)])

        def reply(outcome):
            kind = type(outcome).__name__
            logger.info("[operators] %s by %s: %s.", method, author, kind)
            self._send_outcome(change_id, outcome)

        try:
            self.propose(
                change=proposed.change,
                base_version=proposed.base_version,
                change_id=change_id,
                author=author,
                reply=reply,
            )
        except Exception:
            # Otherwise a repeated call would wait for this failed proposal.
            self.waiting.pop(change_id, None)
            raise

    def _send_outcome(self, change_id, outcome):
        waiting = self.waiting.pop(change_id, None)
        for res, content_type in waiting.responses if waiting else ():
            self._send(res, _encode_outcome(outcome, change_id, content_type))

    @handler("check_timeouts")
    def _on_check_timeouts(self):
        """Respond to calls whose proposal was lost in a restart."""
        now = self.clock()
        expired = [
            key for key, waiting in self.waiting.items() if waiting.timeout_at < now
        ]
        for change_id in expired:
            logger.warning(
                "[operators] No outcome of change %s; the proposal was lost.", change_id
            )
            self._send_outcome(change_id, PROPOSAL_LOST)

    def _send(self, res, call_response):
        res.status = call_response.status
        for name, value in call_response.headers.items():
            res.headers[name] = value
        res.body = call_response.body
        self.fire(response(res))
        return True


def _encode_outcome(outcome, change_id, content_type):
    if isinstance(outcome, effects.Invalid):
        return encode_error(ConnectError("invalid_argument", outcome.reason))
    message = outcome_to_message(outcome, change_id=change_id)
    return encode_response(message, content_type)
