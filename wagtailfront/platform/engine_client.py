"""Calls to engines outside of callers' requests."""

import time
from typing import Annotated

import msgspec

from wagtailfront.decoding import decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.platform.calls import call, describe_failure
from wagtailfront.platform.headers import (
    EXPECTED_ID,
    MAX_TOKENS,
    RATE_LIMIT,
    read_rate_limit,
)
from wagtailfront.platform.notices import read_notice

__all__ = ["EngineClient"]

CACHED_PARTS_PATH = "/api/kv-list"
ORDER_PATH = "/api/order"
CALL_TIMEOUT = 1.0  # seconds; later responses would be out of date
# The order was accepted, or the engine was in that stage already.
ACCEPTED_STATUSES = (202, 200)


Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class _CachedPartList(msgspec.Struct):
    """Response with the prompt parts that an engine has in its cache.

    Attributes
    ----------
    held : list
        For each part an empty string, its id, its tokens and the model.
    """

    held: list[tuple[str, str, Tokens, str]]


class EngineClient:
    """Implements `EngineInquiry` and `StageOrders`.

    Parameters
    ----------
    pool : HttpPool
    instance : str
        Name of this instance, sent as the holder of its orders.
    record_rate, record_notice : callable, optional
        Called as the `record_answer` of RateLimits and of EndpointNotices for
        each answer.
    clock : callable, optional
    """

    def __init__(
        self,
        *,
        pool,
        instance,
        record_rate=lambda incarnation, rate, **times: None,
        record_notice=lambda record, notice, **answer: None,
        clock=time.monotonic,
    ):
        self.pool = pool
        self.instance = instance
        self.record_rate = record_rate
        self.record_notice = record_notice
        self.clock = clock

    def read_cached_parts(self, record, reply):
        """Read which prompt parts an engine has in its cache."""

        def on_response(status, body):
            if status != 200:
                reply(None, describe_failure(status, body))
                return
            try:
                entries = decode_json(body, _CachedPartList).held
            except ProtocolError as error:
                reply(None, f"unreadable list of cached parts: {error}")
                return
            parts = [PromptPart(part_id, tokens) for _, part_id, tokens, _ in entries]
            reply(parts, "")

        self._call(record, on_response, method="GET", path=CACHED_PARTS_PATH)

    def order_stage(self, record, stage, grant, may_send, reply):
        """Order an engine to change to `stage`."""

        def on_response(status, body):
            is_accepted = status in ACCEPTED_STATUSES
            reply(is_accepted, "" if is_accepted else describe_failure(status, body))

        order = {
            "op": "stage",
            "stage": stage,
            "holder": self.instance,
            "fencing-token": grant.fencing,
        }
        self._call(
            record,
            on_response,
            method="POST",
            path=ORDER_PATH,
            headers=(
                ("Content-Type", "application/json"),
                (EXPECTED_ID.decode(), record.endpoint_id),
            ),
            body=msgspec.json.encode(order),
            may_send=may_send,
        )

    def _call(self, record, on_response, **request):
        sent = self.clock()

        def on_headers(status, headers):
            pairs = [
                (k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()
            ]
            self.record_notice(record, read_notice(pairs), status=status, sent=sent)
            rate = read_rate_limit(headers.get(RATE_LIMIT.decode()))
            self.record_rate(record.incarnation, rate, sent=sent, now=self.clock())

        call(
            self.pool,
            on_response,
            on_headers=on_headers,
            host=record.host,
            port=record.port,
            timeout=CALL_TIMEOUT,
            # Calls have no id, so on a used connection an answer could be a
            # copy of an earlier one.
            fresh=True,
            **request,
        )
