"""Decoding of what is common to all answers of the store."""

import logging
import re
from typing import Any

import msgspec

from wagtailfront.decoding import decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.platform.calls import describe_failure
from wagtailfront.platform.rows import read_rows, read_seconds

__all__ = ["read_era", "read_page", "read_store_time"]

logger = logging.getLogger(__name__)

ERA = "Store-Era"  # rises each time the store comes back from an older copy
ERA_NUMBER = re.compile("[0-9]{1,15}")


class _Clock(msgspec.Struct, rename="kebab"):
    """Any answer; `now_ms` is the store's clock."""

    now_ms: Any = None


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


def read_store_time(body):
    """Return the store's clock in seconds in any of its answers, or None."""
    try:
        return read_seconds(decode_json(body, _Clock).now_ms)
    except ProtocolError as error:
        logger.warning("[store] no clock in an answer: %.160s", error)
        return None
