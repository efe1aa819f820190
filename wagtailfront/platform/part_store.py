"""Table of prompt parts that are refused."""

from wagtailfront.platform.calls import make_write_handler

__all__ = ["StoreRefusedParts"]

PART_TABLE = "refused-parts"


class StoreRefusedParts:
    """Implements `RefusedPartStore` on a table of the platform's store.

    Parameters
    ----------
    client : StoreClient
    log : DecisionLog
    """

    def __init__(self, *, client, log):
        self.client = client
        self.log = log

    def read(self, reply):
        """Read the ids of all parts in the table."""

        def on_rows(rows, reason):
            if rows is None:
                self.log.decision("refused_parts", outcome="unknown", reason=reason)
                reply(None)
            else:
                reply([row.key for row in rows.rows])

        self.client.read_table(PART_TABLE, on_rows)

    def record(self, part, reply):
        """Add a part."""
        self.client.put(PART_TABLE, part, b"", self._make_handler(part, reply))

    def remove(self, part, reply):
        """Remove a part."""
        self.client.remove(PART_TABLE, part, self._make_handler(part, reply))

    def _make_handler(self, part, reply):
        return make_write_handler(reply, self.log, "refused_parts", part=part)
