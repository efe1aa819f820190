"""Calls to engines outside of callers' requests."""

import msgspec

from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.platform.calls import call, describe_failure
from wagtailfront.platform.headers import EXPECTED_ID

__all__ = ["EngineClient"]

KEPT_PATH = "/api/kv-list"
ORDER_PATH = "/api/order"
CALL_TIMEOUT = 1.0  # seconds; answers are of use only while they are fresh
# The order was taken, or the engine was in that stage already.
TAKEN = (202, 200)


class _KeptList(msgspec.Struct):
    """What an engine keeps.

    Attributes
    ----------
    held : list
        Entries of an empty text, a part's id, its tokens, and the model.
    """

    held: list[tuple[str, str, int, str]]


class EngineClient:
    """Implements `EngineInquiry` and `StageOrders`.

    Parameters
    ----------
    pool : HttpPool
    instance : str
        Name of this instance, the holder of its orders.
    """

    def __init__(self, *, pool, instance):
        self.pool = pool
        self.instance = instance

    def read_cached_parts(self, record, reply):
        """Ask which prompt parts an engine keeps."""

        def take(status, body):
            if status != 200:
                reply(None, describe_failure(status, body))
                return
            try:
                held = msgspec.json.decode(body, type=_KeptList).held
            except msgspec.MsgspecError as error:
                reply(None, f"unreadable list: {error}")
                return
            parts = [PromptPart(part_id, tokens) for _, part_id, tokens, _ in held]
            reply(parts, "")

        call(
            self.pool,
            take,
            host=record.host,
            port=record.port,
            method="GET",
            path=KEPT_PATH,
            timeout=CALL_TIMEOUT,
        )

    def order_stage(self, record, stage, grant, may_send, reply):
        """Order an engine to change its stage."""

        def take(status, body):
            is_taken = status in TAKEN
            reply(is_taken, "" if is_taken else describe_failure(status, body))

        order = {
            "op": "stage",
            "stage": stage,
            "holder": self.instance,
            "fencing-token": grant.fencing,
        }
        call(
            self.pool,
            take,
            host=record.host,
            port=record.port,
            method="POST",
            path=ORDER_PATH,
            headers=(
                ("Content-Type", "application/json"),
                (EXPECTED_ID.decode(), record.endpoint_id),
            ),
            body=msgspec.json.encode(order),
            timeout=CALL_TIMEOUT,
            may_send=may_send,
        )
