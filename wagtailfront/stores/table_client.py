"""Table store client over HTTP."""

from wagtailfront.stores import table_codec
from wagtailfront.stores.interfaces import Rows
from wagtailfront.stores.store_connection import StoreConnection

__all__ = ["TableClient"]


class TableClient(StoreConnection):
    """TableStore that speaks the DynamoDB low-level JSON protocol.

    Parameters
    ----------
    table : str
        Name of the table.
    options
        See StoreConnection.

    Notes
    -----
    A write that was sent and not answered is Unknown; it may still take
    effect later. Unavailable means that no byte was sent or that the service
    rejected the request.
    """

    channel = "table_client"

    def __init__(self, *, table="wagtailfront", channel=channel, **options):
        super().__init__(channel=channel, **options)
        self.table = table

    def get(self, *, key, reply):
        """Read one row consistently: Found, Missing or Unavailable."""

        def decode(status, headers, body):
            decoded = table_codec.decode_get(status, body)
            return table_codec.with_era(decoded, headers)

        encoded = table_codec.encode_get(table=self.table, key=key)
        self.read(decode=decode, reply=reply, **_post(encoded))

    def query(self, *, partition, after, limit, reply):
        """Read rows with a sort key above `after`: Rows or Unavailable.

        The service may return pages of fewer rows than asked for. They are
        joined, so that fewer than `limit` rows mean that there are no more.
        """

        def read_page(after, rows):
            def on_page(decoded):
                page, more_after = decoded if type(decoded) is tuple else (decoded, "")
                if not isinstance(page, Rows):
                    return reply(page)
                joined = rows + page.rows
                if more_after is None or len(joined) >= limit:
                    return reply(Rows(rows=joined))
                return read_page(more_after, joined)

            encoded = table_codec.encode_query(
                table=self.table,
                partition=partition,
                after=after,
                limit=limit - len(rows),
            )
            self.read(decode=decode, reply=on_page, **_post(encoded))

        def decode(status, headers, body):
            return table_codec.decode_query(status, body)

        read_page(after, ())

    def transact(self, *, checks=(), puts=(), token, reply):
        """Write all puts if all checks and expected versions hold.

        Committed, ConditionFailed, Unknown or Unavailable.

        Raises
        ------
        ValueError
            If the protocol does not allow the transaction.
        """

        def decode(status, headers, body):
            decoded = table_codec.decode_transact(status, body)
            return table_codec.with_era(decoded, headers)

        encoded = table_codec.encode_transact(
            table=self.table, checks=checks, puts=puts, token=token
        )
        self.write(decode=decode, reply=reply, **_post(encoded))


def _post(encoded):
    headers, body = encoded
    return {"method": "POST", "path": "/", "headers": headers, "body": body}
