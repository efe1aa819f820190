"""Table of the sums of usage that are reported."""

import base64

import msgspec

from wagtailfront.decoding import decode_json
from wagtailfront.exception import ProtocolError
from wagtailfront.platform.calls import make_write_handler

__all__ = ["StoreUsage"]

USAGE_TABLE = "usage"
NO_ROW = 0


class StoreUsage:
    """Implements `UsageStore` on a table of the platform's store.

    Parameters
    ----------
    client : StoreClient
    log : DecisionLog
    """

    def __init__(self, *, client, log):
        self.client = client
        self.log = log

    def read(self, reply):
        """Read the sums by window; those that cannot be read are left out."""

        def on_rows(rows, reason):
            if rows is None:
                self.log.decision("usage_sums", outcome="unknown", reason=reason)
                reply(None)
                return
            sums = {}
            for row in rows.rows:
                try:
                    data = base64.b64decode(row.value, validate=True)
                    sums[int(row.key)] = decode_json(data, dict[str, int])
                except (ValueError, ProtocolError) as error:
                    reason = str(error)
                    self.log.decision(
                        "usage_sums", outcome="row skipped", row=row.key, reason=reason
                    )
            reply(sums)

        self.client.read_table(USAGE_TABLE, on_rows)

    def write(self, window, counts, removed, reply):
        """Write a sum on condition that there is none for the window."""
        self.client.put(
            USAGE_TABLE,
            str(window),
            msgspec.json.encode(counts),
            make_write_handler(reply, self.log, "usage_sums", window=window),
            expected_ver=NO_ROW,
            removed=[str(each) for each in removed],
        )
