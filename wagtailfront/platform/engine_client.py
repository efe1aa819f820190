"""Calls to engines outside of callers' requests."""

import msgspec

from wagtailfront.forwarding.interfaces import PromptPart
from wagtailfront.transport.http_client import WholeResponse

__all__ = ["EngineClient"]

KEPT_PATH = "/api/kv-list"
CALL_TIMEOUT = 1.0  # seconds; the list is of use only while it is fresh


class _KeptList(msgspec.Struct):
    """What an engine keeps.

    Attributes
    ----------
    held : list
        Entries of an empty text, a part's id, its tokens, and the model.
    """

    held: list[tuple[str, str, int, str]]


class EngineClient:
    """Implements `EngineInquiry`.

    Parameters
    ----------
    pool : HttpPool
    """

    def __init__(self, *, pool):
        self.pool = pool

    def read_kept(self, record, reply):
        """Ask which prompt parts an engine keeps."""

        def take(status, headers, body):
            if status != 200:
                reply(None, f"status {status}" if status else str(headers))
                return
            try:
                held = msgspec.json.decode(body, type=_KeptList).held
            except msgspec.MsgspecError as error:
                reply(None, f"unreadable list: {error}")
                return
            parts = [PromptPart(part_id, tokens) for _, part_id, tokens, _ in held]
            reply(parts, "")

        sink = WholeResponse(take)
        sink.exchange = self.pool.request(
            host=record.host,
            port=record.port,
            method="GET",
            path=KEPT_PATH,
            sink=sink,
            timeout=CALL_TIMEOUT,
        )
