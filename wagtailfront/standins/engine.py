"""Stand-in model engine with continuous batching and fault injection."""

import logging
import os
import time
from collections import Counter, deque
from typing import NamedTuple

import msgspec
from circuits import BaseComponent, Event, Timer, handler
from circuits.net.events import close
from circuits.web.events import response, stream

from wagtailfront.callers.completion_request import InvalidRequest, parse_completion
from wagtailfront.endpoints.engine_protocol import (
    EngineChoice,
    EngineChunk,
    EngineLoad,
    EngineOrder,
)
from wagtailfront.identifiers import new_id
from wagtailfront.serving.http_server import HttpServer
from wagtailfront.standins.engine_text import answer_length, answer_tokens
from wagtailfront.transport.sse import DONE, format_event

__all__ = ["EngineSettings", "StandinEngine"]

logger = logging.getLogger(__name__)

CRASH_MARKER = b"crash-engine"  # a prompt with this text ends the process
CRASH_EXIT_STATUS = 70
PIECE_TOKENS = 2000  # tokens per block of the prefix cache


class EngineSettings(NamedTuple):
    """Speed, limits and faults of the stand-in engine.

    Attributes
    ----------
    step : float
        Seconds between decode steps; a step decodes one token of each
        running request.
    prefill_rate : float
        Prompt tokens prefilled per second.
    max_running : int
        Requests that are decoded at the same time.
    change_time : float
        Seconds for which the engine is unavailable during an order.
    checks_fencing : bool
        Whether orders with an old fencing number are rejected.
    report_lag : float
        Seconds by which load reports are delayed.
    """

    step: float = 0.02
    prefill_rate: float = 20000.0
    max_running: int = 32
    change_time: float = 2.0
    checks_fencing: bool = True
    report_lag: float = 0.0


class engine_step(Event):
    """Decode the next token of every running request."""


class change_done(Event):
    """An ordered change is complete."""


class _Sequence:
    """A waiting or running request."""

    def __init__(self, *, request, req, res, attempt, position):
        self.request = request
        self.req = req
        self.res = res
        self.attempt = attempt
        self.position = position
        self.length = answer_length(request.prompt, request.max_tokens)
        self.prefill_left = float(request.prompt_tokens)


class StandinEngine(BaseComponent):
    """Engine that answers completions with deterministic text.

    Parameters
    ----------
    bind : (str, int)
    model, version : str
    settings : EngineSettings

    Notes
    -----
    The JSON body of `POST /faults` sets `slow_factor`, by which decode steps
    take longer, and the number of times that each fault occurs: `cross` (a
    chunk has the identifier of another request), `duplicate` (a chunk is sent
    twice) and `truncate` (an answer ends without its last chunk). A number
    other than 0 for `silent` stops decoding.
    """

    def __init__(
        self,
        *,
        bind,
        model,
        version,
        adapters=(),
        role="mixed",
        settings=None,
        channel="engine",
    ):
        super().__init__(channel=channel)
        self.settings = settings or EngineSettings()
        self.model = model
        self.version = version
        self.role = role
        self.adapters = adapters
        self.start_id = new_id()
        self.changing = False
        self.fence = 0
        self.order_id = ""
        self.orders = []
        self.runs = Counter()
        self.slow_factor = 1.0
        self.faults = {}
        self.waiting = deque()
        self.batch = []
        self.cached = {}
        self.reports = deque()
        self.next_step = 0.0
        self.server = HttpServer(bind=bind, channel=self.channel).register(self)
        Timer(self.settings.step, engine_step(), self.channel, persist=True).register(
            self
        )
        self.routes = {
            ("POST", "/v1/completions"): self._complete,
            ("POST", "/v1/chat/completions"): self._complete_chat,
            ("GET", "/load"): self._get_load,
            ("GET", "/health"): self._get_health,
            ("GET", "/record"): self._get_record,
            ("POST", "/orders"): self._accept_order,
            ("POST", "/faults"): self._set_faults,
        }

    @handler("request")
    def _on_request(self, req, res):
        res.headers["X-Model"] = self.model
        res.headers["X-Model-Version"] = self.version
        res.headers["X-Start-Id"] = self.start_id
        res.headers["X-Load"] = f"{len(self.batch)},{len(self.waiting)}"
        route = self.routes.get((req.method, "/" + req.path.strip("/")))
        if route is None:
            return _answer(res, 404, {"error": {"message": "not found"}})
        return route(req, res)

    def _complete(self, req, res):
        return self._accept_completion(req, res, chat=False)

    def _complete_chat(self, req, res):
        return self._accept_completion(req, res, chat=True)

    def _accept_completion(self, req, res, *, chat):
        if self.changing:
            return _answer(res, 503, {"error": {"message": "changing"}})
        try:
            request = parse_completion(req.body.read(), req.headers, chat=chat)
        except InvalidRequest as error:
            return _answer(res, 400, {"error": {"message": error.message}})
        if request.model not in (self.model, *self.adapters):
            return _answer(res, 404, {"error": {"message": "model not loaded"}})
        attempt = req.headers.get("X-Request-Id", "none.1")
        self.runs[attempt] += 1
        if CRASH_MARKER in request.prompt:
            logger.error("[engine] Request %s has the crash marker; exiting.", attempt)
            os._exit(CRASH_EXIT_STATUS)
        sequence = _Sequence(
            request=request,
            req=req,
            res=res,
            attempt=attempt,
            position=int(req.headers.get("X-Resume-From", "0")),
        )
        self._apply_prefix_cache(sequence)
        self._enqueue(sequence)
        res.headers["Content-Type"] = "text/event-stream"
        res._body = None
        self.fire(response(res), self.channel)
        return True

    def _apply_prefix_cache(self, sequence):
        """Skip the prefill of cached prefixes and cache the new ones."""
        prompt = sequence.request.prompt
        size = PIECE_TOKENS * 4  # 4 bytes per token, as in completion_request
        prefixes = [prompt[: i + size] for i in range(0, len(prompt) - size, size)]
        hits = sum(1 for prefix in prefixes if hash(prefix) in self.cached)
        sequence.prefill_left -= hits * PIECE_TOKENS
        self.cached.update(dict.fromkeys(map(hash, prefixes), time.monotonic()))

    def _enqueue(self, sequence):
        """Insert a request before those with a higher priority number."""
        priority = sequence.request.priority
        later = (i for i, s in enumerate(self.waiting) if s.request.priority > priority)
        self.waiting.insert(next(later, len(self.waiting)), sequence)

    @handler("engine_step")
    def _on_step(self):
        now = time.monotonic()
        self._sample_load(now)
        if now < self.next_step or self.faults.get("silent"):
            return
        self.next_step = now + self.settings.step * (self.slow_factor - 1.0)
        budget = self.settings.prefill_rate * self.settings.step
        while self.waiting and len(self.batch) < self.settings.max_running:
            head = self.waiting[0]
            spent = min(budget, head.prefill_left)
            head.prefill_left -= spent
            budget -= spent
            if head.prefill_left > 0:
                break
            self.batch.append(self.waiting.popleft())
        for sequence in list(self.batch):
            self._decode_token(sequence)

    def _decode_token(self, sequence):
        if sequence.position >= sequence.length:
            self._finish(sequence)
            return
        text = answer_tokens(sequence.request.prompt, sequence.position, 1)
        self._send_chunk(sequence, text=text, tokens=1)
        sequence.position += 1
        if sequence.position >= sequence.length:
            self._finish(sequence)

    def _send_chunk(self, sequence, *, text, tokens, finish=None):
        choice = EngineChoice(finish_reason=finish)
        if sequence.request.chat:
            choice.delta = {"content": text} if text else {}
        else:
            choice.text = text
        identifier = sequence.attempt
        if self._consume_fault("cross"):
            identifier = "0000000000000000.1"
        chunk = EngineChunk(
            id=identifier,
            token_index=sequence.position,
            tokens=tokens,
            choices=[choice],
            model=self.model,
        )
        event = format_event(msgspec.json.encode(chunk))
        if self._consume_fault("duplicate"):
            event += event
        self.fire(stream(sequence.res, event), self.channel)

    def _consume_fault(self, name):
        """Return whether a fault is pending, and use up one occurrence."""
        is_pending = self.faults.get(name, 0) > 0
        if is_pending:
            self.faults[name] -= 1
        return is_pending

    def _finish(self, sequence):
        self.batch.remove(sequence)
        if self._consume_fault("truncate"):
            self.fire(stream(sequence.res, None), self.channel)
            return
        stop = sequence.length < sequence.request.max_tokens
        self._send_chunk(
            sequence, text="", tokens=0, finish="stop" if stop else "length"
        )
        self.fire(stream(sequence.res, format_event(DONE)), self.channel)
        self.fire(stream(sequence.res, None), self.channel)

    @handler("disconnect")
    def _on_disconnect(self, sock):
        self.batch = [s for s in self.batch if s.req.sock is not sock]
        self.waiting = deque(s for s in self.waiting if s.req.sock is not sock)

    def _sample_load(self, now):
        sample = (now, len(self.batch), len(self.waiting))
        queued = sum(max(0, int(s.prefill_left)) for s in self.waiting)
        self.reports.append((*sample, queued))
        while len(self.reports) > 1 and (
            now - self.reports[1][0] >= self.settings.report_lag
        ):
            self.reports.popleft()

    def _get_load(self, req, res):
        if not self.reports:
            self._sample_load(time.monotonic())
        sampled, running, waiting, queued = self.reports[0]
        load = EngineLoad(
            running=running,
            waiting=waiting,
            queued_prefill_tokens=queued,
            cached_pieces=len(self.cached),
            model=self.model,
            version=self.version,
            adapters=self.adapters,
            role=self.role,
            age=time.monotonic() - sampled,
            changing=self.changing,
            order_id=self.order_id,
            fence=self.fence,
        )
        return _answer(res, 200, load)

    def _get_health(self, req, res):
        return _answer(res, 200, {"status": "ok"})

    def _get_record(self, req, res):
        return _answer(res, 200, {"runs": self.runs, "orders": self.orders})

    def _accept_order(self, req, res):
        try:
            order = msgspec.json.decode(req.body.read(), type=EngineOrder)
        except msgspec.DecodeError as error:
            return _answer(res, 400, {"error": {"message": str(error)}})
        if self.settings.checks_fencing and order.fence < self.fence:
            return _answer(res, 409, {"error": {"message": "old fencing number"}})
        if order.order_id == self.order_id:
            return _answer(res, 200, {"accepted": order.order_id})
        self.orders.append({"order_id": order.order_id, "fence": order.fence})
        self.fence = max(self.fence, order.fence)
        self.order_id = order.order_id
        self.changing = True
        # An order aborts all requests, as loading a model does.
        for sequence in [*self.batch, *self.waiting]:
            self.fire(close(sequence.req.sock), self.channel)
        self.batch, self.waiting = [], deque()
        Timer(self.settings.change_time, change_done(order), self.channel).register(
            self
        )
        return _answer(res, 200, {"accepted": order.order_id})

    @handler("change_done")
    def _on_change_done(self, order):
        if order.order_id != self.order_id:
            return
        self.model, self.version = order.model, order.version
        self.adapters, self.role = order.adapters, order.role
        self.changing = False
        logger.info("[engine] Completed order %s.", order.order_id)

    def _set_faults(self, req, res):
        fields = msgspec.json.decode(req.body.read(), type=dict)
        self.slow_factor = float(fields.pop("slow_factor", self.slow_factor))
        self.faults = {name: int(count) for name, count in fields.items()}
        return _answer(res, 200, {"slow_factor": self.slow_factor})


def _answer(res, status, value):
    res.status = status
    res.headers["Content-Type"] = "application/json"
    res.body = msgspec.json.encode(value)
    return res
