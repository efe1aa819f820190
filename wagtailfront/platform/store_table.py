"""TableStore on rows of the platform's store."""

import base64
from typing import Annotated
from urllib.parse import quote

import msgspec

from wagtailfront.decoding import decode_json, decode_msgpack
from wagtailfront.exception import ProtocolError
from wagtailfront.platform.calls import describe_failure
from wagtailfront.platform.rows import read_rows
from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Missing,
    Row,
    Unavailable,
    Unknown,
)

__all__ = ["StoreTable"]

TABLE = "leases"
MAX_VERSION = 2**53
CONDITION_FAILED = 412
REJECTED_STATUSES = (429, 503)  # the store states that nothing was written


class _Value(msgspec.Struct, frozen=True, array_like=True):
    """Contents of a row; `version` counts the row's writes from 1."""

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_VERSION)]
    value: bytes


class _Written(msgspec.Struct):
    """Response to a transaction; `ver` is the store's version of its rows."""

    ver: int


class StoreTable:
    """Implements the reads and the writes of one row of `TableStore`.

    Parameters
    ----------
    client : StoreClient

    Attributes
    ----------
    versions : dict of Key to (int, StorePosition)
        A row's own version and the store's position of it, as read or written
        last.

    Notes
    -----
    `TableStore` counts the versions of each row, while the store takes them
    from one counter for all rows. Therefore a row's value contains the row's
    own version. A condition holds for the era in which the row was read: a
    later era may have given its version to another write.
    """

    def __init__(self, *, client):
        self.client = client
        self.versions = {}

    def get(self, *, key, reply):
        """Read one row."""

        def on_response(status, body):
            if status != 200:
                reply(Unavailable(reason=describe_failure(status, body)))
                return
            try:
                rows = [row for row in read_rows(body).rows if row.key == key.sort]
                if not rows:
                    self.versions[key] = (0, self.client.position(0))
                    reply(Missing(era=self.client.era))
                    return
                data = base64.b64decode(rows[0].value, validate=True)
                stored = decode_msgpack(data, _Value)
            except (ValueError, ProtocolError) as error:
                reply(Unavailable(reason=f"unreadable row: {error}"))
                return
            self.versions[key] = (stored.version, self.client.position(rows[0].ver))
            row = Row(key, stored.version, stored.value)
            reply(Found(row=row, era=self.client.era))

        name = quote(key.sort, safe="")
        self.client.get(
            f"/api/rows-get?table={TABLE}&part=&from={name}&limit=1", on_response
        )

    def transact(self, *, puts, token, reply, checks=()):
        """Write one row if it has the expected version.

        `token` is ignored: a repeat of a committed write fails, since the
        row's version has changed.
        """
        if len(puts) != 1 or checks:
            raise ValueError("only a single row can be written")
        put = puts[0]
        version, position = self.versions.pop(put.key, (None, self.client.position(0)))
        if version != put.expected or position.era != self.client.era:
            reply(ConditionFailed())
            return

        def on_response(status, body):
            if status is not None and self.client.era != position.era:
                reply(Unknown(reason=f"the store was restored after {position}"))
            elif status == 200:
                try:
                    written = decode_json(body, _Written).ver
                except ProtocolError as error:
                    reply(Unknown(reason=f"unreadable response: {error}"))
                    return
                written_at = self.client.position(written)
                self.versions[put.key] = (put.expected + 1, written_at)
                reply(Committed(era=self.client.era))
            elif status == CONDITION_FAILED:
                reply(ConditionFailed())
            elif status in REJECTED_STATUSES:
                self.versions[put.key] = (version, position)
                reply(Unavailable(reason=describe_failure(status, body)))
            else:
                reply(Unknown(reason=describe_failure(status, body)))

        value = msgspec.msgpack.encode(_Value(put.expected + 1, put.value))
        self.client.put(
            TABLE, put.key.sort, value, on_response, expected_ver=position.ver
        )
