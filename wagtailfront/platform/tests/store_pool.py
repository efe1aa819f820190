"""In-memory store behind the interface of `HttpPool`."""

import bisect
from urllib.parse import parse_qs, urlsplit

import msgspec


class StorePool:
    """Responds to requests at once from the rows that the test writes.

    Parameters
    ----------
    page_rows : int, optional
        Largest number of rows in one response.

    Attributes
    ----------
    changes : list of tuple
        Version, table, key and value of each write, in order.
    failures : list of int or None
        Statuses of the next responses; None for a timeout.
    clock : callable or None
        Returns the seconds of the store's clock, which its answers contain.
    """

    def __init__(self, *, page_rows=500):
        self.page_rows = page_rows
        self.rows = {}
        self.changes = []
        self.ver = 100
        self.era = 1
        self.calls = []
        self.failures = []
        self.clock = None

    def write(self, table, key, value):
        """Write a row, or remove it if `value` is None."""
        self.ver += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.ver)
        self.changes.append((self.ver, table, key, value))
        return self.ver

    def copy(self):
        """Return a copy of the store for `restore`."""
        return dict(self.rows), tuple(self.changes), self.ver

    def restore(self, copy):
        """Come back from a copy, in a new era."""
        rows, changes, self.ver = copy
        self.rows, self.changes = dict(rows), list(changes)
        self.era += 1

    def request(self, *, host, port, method, path, sink, body=b"", **options):
        """Respond to a request, or fail as `failures` says."""
        self.calls.append((method, path))
        if self.failures:
            status = self.failures.pop(0)
            if status is None:
                sink.on_failure("timed out", True)
                return
            answer = {}
        else:
            status, answer = self.perform(method, path, body)
        self.respond(sink, status, answer, self.era)

    def drop_idle_to(self, host, port):
        """Close idle connections, of which there are none."""

    def perform(self, method, path, body):
        """Return the status and the answer to a request."""
        if method == "POST":
            status, answer = self._transact(msgspec.json.decode(body))
            return status, {**answer, "ver": self.ver, **self.told_time()}
        fields = self.read_query(path)
        if int(fields.get("after", 0)) > self.ver:
            return 410, {}
        return 200, {**self._rows(fields), "ver": self.ver, **self.told_time()}

    def told_time(self):
        """Return the field of an answer that contains the store's clock."""
        return {} if self.clock is None else {"now-ms": int(self.clock() * 1000)}

    @staticmethod
    def read_query(path):
        """Return the fields of a query by name."""
        fields = parse_qs(urlsplit(path).query)
        return {key: values[0] for key, values in fields.items()}

    @staticmethod
    def respond(sink, status, answer, era):
        """Send an answer that was given in an era."""
        sink.on_head(status, {"Store-Era": str(era)})
        sink.on_data(msgspec.json.encode(answer))
        sink.on_end()

    def _rows(self, fields):
        found = (
            self._changed_rows(fields["table"], int(fields["after"]))
            if "after" in fields
            else self._present_rows(fields["table"], fields.get("from", ""))
        )
        return {
            "rows": found[: self.page_rows],
            "has-more": len(found) > self.page_rows,
        }

    def _present_rows(self, table, first_key):
        return [
            {"key": key, "value": value, "ver": ver}
            for (row_table, key), (value, ver) in sorted(self.rows.items())
            if row_table == table and key >= first_key
        ]

    def _changed_rows(self, table, after):
        """Return every version of the rows since `after`, in order."""
        first = bisect.bisect(self.changes, after, key=lambda change: change[0])
        return [
            {"key": key, "ver": ver, "removed": True}
            if value is None
            else {"key": key, "value": value, "ver": ver}
            for ver, row_table, key, value in self.changes[first:]
            if row_table == table
        ]

    def _transact(self, body):
        for row in body["expect"]:
            held = self.rows.get((row["table"], row["key"]), ("", 0))
            if held[1] != row["ver"]:
                return 412, {}
        for row in body["put"]:
            self.write(row["table"], row["key"], row["value"])
        for row in body["remove"]:
            self.write(row["table"], row["key"], None)
        return 200, {}
