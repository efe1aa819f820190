"""Decoding of what is common to all answers of the store."""

import logging
import re
from typing import Annotated

import msgspec

from wagtailfront.decoding import decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.platform.calls import describe_failure
from wagtailfront.platform.rows import read_rows

__all__ = ["read_clock", "read_era", "read_page"]

logger = logging.getLogger(__name__)

ERA = "Store-Era"  # rises each time the store comes back from an older copy
ERA_NUMBER = re.compile("[0-9]{1,15}")
MAX_MS = 2**53


class _Clock(msgspec.Struct, rename="kebab"):
    """Any answer; `now_ms` is the store's clock."""

    now_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)] | None = None


def read_era(headers):
    """Return the store's era in the headers of an answer, or None."""
    value = headers.get(ERA)
    if value is not None and not ERA_NUMBER.fullmatch(value):
        logger.warning("[store] unreadable era %.40r", value)
        return None
    return None if value is None else int(value)


def read_page(status, body):
    """Return the StoreRows of a response, or None, and the reason."""
    if status != 200:
        return None, describe_failure(status, body)
    try:
        return read_rows(body), ""
    except ValueError as error:
        return None, str(error)


def read_clock(body):
    """Return the store's clock in a response in milliseconds, or None."""
    try:
        return decode_json(body or b"{}", _Clock).now_ms
    except ProtocolError as error:
        logger.warning("[store] clock not read: %.160s", error)
        return None
