"""The product's table on rows of the platform's store."""

import base64
from urllib.parse import quote

import msgspec

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
CONDITION_FAILED = 412
REFUSED = (429, 503)  # the store states that nothing was done


class _Value(msgspec.Struct, frozen=True, array_like=True):
    """What a row holds; the product counts a row's versions from 1."""

    version: int
    value: bytes


class _Written(msgspec.Struct):
    """Answer to a transaction; `ver` is the store's version of its rows."""

    ver: int


class StoreTable:
    """Implements the reads and the writes of one row of `TableStore`.

    Parameters
    ----------
    client : StoreClient

    Notes
    -----
    The store's versions come from one counter for all rows, so the row holds
    the product's version, and `vers` the store's version that belongs to the
    one read or written last.
    """

    def __init__(self, *, client):
        self.client = client
        self.vers = {}

    def get(self, *, key, reply):
        """Read one row."""

        def take(status, body):
            if status != 200:
                reply(Unavailable(reason=describe_failure(status, body)))
                return
            try:
                rows = [row for row in read_rows(body).rows if row.key == key.sort]
                if not rows:
                    self.vers[key] = (0, 0)
                    reply(Missing())
                    return
                data = base64.b64decode(rows[0].value, validate=True)
                held = msgspec.msgpack.decode(data, type=_Value)
            except (ValueError, msgspec.MsgspecError) as error:
                reply(Unavailable(reason=f"unreadable row: {error}"))
                return
            self.vers[key] = (held.version, rows[0].ver)
            reply(Found(row=Row(key, held.version, held.value)))

        name = quote(key.sort, safe="")
        self.client.get(f"/api/rows-get?table={TABLE}&part=&from={name}&limit=1", take)

    def transact(self, *, puts, token, reply, checks=()):
        """Write one row if it has the expected version.

        A repeat with the same `token` fails, as the row has changed.
        """
        if len(puts) != 1 or checks:
            raise ValueError("only a single row can be written")
        put = puts[0]
        version, ver = self.vers.pop(put.key, (None, 0))
        if version != put.expected:
            reply(ConditionFailed())
            return

        def take(status, body):
            if status == 200:
                try:
                    written = msgspec.json.decode(body, type=_Written).ver
                except msgspec.MsgspecError as error:
                    reply(Unknown(reason=f"unreadable answer: {error}"))
                    return
                self.vers[put.key] = (put.expected + 1, written)
                reply(Committed())
            elif status == CONDITION_FAILED:
                reply(ConditionFailed())
            elif status in REFUSED:
                self.vers[put.key] = (version, ver)
                reply(Unavailable(reason=describe_failure(status, body)))
            else:
                reply(Unknown(reason=describe_failure(status, body)))

        value = msgspec.msgpack.encode(_Value(put.expected + 1, put.value))
        self.client.put(TABLE, put.key.sort, value, take, expected_ver=ver)
