"""Room that one request takes at its engines, and its wait for it."""

import math

from wagtailfront.forwarding.placement import PREFILL
from wagtailfront.room.forecast import seconds_until_room
from wagtailfront.room.request_size import request_size

__all__ = ["RequestRoom"]

OK = 200
DECODE = "decode"  # key of the room kept at an engine during the prefill


class RequestRoom:
    """Counts what a request takes, by its attempts.

    Parameters
    ----------
    control : RoomControl
    service : Service
    kind : str
        Requests of one kind have outputs of similar length.
    fields : RequestFields

    Attributes
    ----------
    holds : dict
        Engine, Held and time of the start, by attempt.
    number : int or None
        Number among the waiting requests, once it has waited.
    """

    def __init__(self, *, control, service, kind, fields):
        self.control = control
        self.service = service
        self.kind = kind
        self.fields = fields
        self.capacity = service.kv_capacity_tokens if service.is_model else 0
        self.holds = {}
        self.number = None
        self.sizes = None

    @property
    def has_waited(self):
        """Return whether the request was admitted to wait for room."""
        return self.number is not None

    def size(self, stage):
        """Return the Held of the request at an engine of a stage."""
        if self.sizes is None:
            fields = self.fields
            output = self.control.lengths.predict(
                fields.workspace or "", self.kind, fields.max_output_tokens
            ).high
            prompt = request_size(fields.prompt_tokens, fields.parts)
            whole = request_size(
                fields.prompt_tokens, fields.parts, output_tokens=math.ceil(output)
            )
            self.sizes = (prompt, whole)
        return self.sizes[stage != PREFILL]

    def tokens_before(self, rank, latest_start):
        """Return the tokens for which requests wait that come before it."""
        return self.control.waiting.tokens_before(
            self.service.name, rank=rank, latest_start=latest_start, number=self.number
        )

    def view_fields(self, record, *, ahead, now):
        """Return the fields of an EngineView on its memory.

        Parameters
        ----------
        record : EndpointRecord
        ahead : float
            Tokens for which requests wait that come before this one, by
            engine.
        now : float
        """
        if not self.capacity:
            return {}
        use, endpoint = self.control.use, record.incarnation
        committed = use.committed(endpoint)
        reserve = ahead + use.reserve(endpoint, now=now)
        return {
            "committed_tokens": committed,
            "free_tokens": self.capacity - committed - reserve,
            "needed_tokens": use.missing(endpoint, self.size(record.stage)),
        }

    def hold(self, key, record):
        """Count the request at an engine, for the attempt `key`."""
        if self.capacity:
            held = self.size(record.stage)
            self.control.use.hold(record.incarnation, held)
            self.holds[key] = (record.incarnation, held, self.control.clock())

    def begin(self, attempt):
        """Count an attempt that is sent."""
        endpoint, *_rest = self.holds.get(DECODE, (None,))
        if not attempt.is_prefill and endpoint == attempt.record.incarnation:
            self.holds[attempt] = self.holds.pop(DECODE)
            return
        self.hold(attempt, attempt.record)
        if not attempt.is_prefill:
            self.release(DECODE)

    def end(self, attempt):
        """Stop counting an attempt, unless its engine holds the prompt."""
        lifetime = self.service.handle_lifetime
        if not attempt.is_prefill or attempt.status != OK or not lifetime:
            self.release(attempt)
        elif attempt in self.holds:
            self.control.timers.after(lifetime, lambda: self.release(attempt))

    def take(self):
        """Stop counting a prompt that its prefill engine held until now."""
        for key in [k for k in self.holds if getattr(k, "is_prefill", False)]:
            self.release(key)

    def release(self, key):
        """Stop counting what is held for an attempt, if anything is."""
        endpoint, held, since = self.holds.pop(key, (None, None, 0.0))
        if held is not None:
            self.control.use.release(endpoint, held)
            if held is self.sizes[1] and key != DECODE:
                seconds = self.control.clock() - since
                self.control.record_hold(
                    self.service.name, tokens=held.total, seconds=seconds
                )

    def close(self):
        """Give up what was kept for the request, as it has ended."""
        self.release(DECODE)
        if self.number is not None:
            self.control.waiting.discard(self.service.name, self.number)

    def record_output(self, tokens):
        """Record the length of its complete output, if it is known."""
        if tokens:
            workspace = self.fields.workspace or ""
            self.control.lengths.observe(workspace, self.kind, tokens)

    def seconds_until_room(self, views, *, rank, latest_start):
        """Return the forecast seconds until one of the engines has room.

        Until it waits itself, other instances are assumed to let as many
        requests wait as this one. The instance whose forecasts are shortest
        would otherwise fill the queue, and the others refuse all requests.
        """
        views = [view for view in views if view.record.stage != PREFILL]
        extra = 0.0
        if not self.has_waited:
            order = {"rank": rank, "latest_start": latest_start}
            own = self.control.waiting.own_before(self.service.name, **order)
            fair = self.control.load.count_busy() * own
            extra = max(0.0, fair - self.tokens_before(rank, latest_start))
        return seconds_until_room(
            views,
            hold_seconds=self.control.hold_seconds(self.service.name),
            waiting=extra / max(1, len(views)),
        )

    def wait(self, step, *, rank, latest_start):
        """Wait for room in the order of all requests; `step` tries again."""
        held = self.size(DECODE)
        self.number = self.control.waiting.add(
            self.service.name,
            rank=rank,
            latest_start=latest_start,
            tokens=held.total,
            step=step,
            number=self.number,
        )
