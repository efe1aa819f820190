"""Calls to the platform's store."""

import base64
from urllib.parse import quote

import msgspec

from wagtailfront.forwarding.interfaces import InstanceRow, RegistryRead, RoutingRead
from wagtailfront.platform.calls import call, describe_failure
from wagtailfront.platform.rows import (
    StoreRows,
    read_registry,
    read_routing,
    read_rows,
)

__all__ = ["StoreClient", "StoreMembership", "StoreRegistry", "StoreRouting"]

CALL_TIMEOUT = 1.0  # seconds; the store answers in milliseconds when it is well
WATCH_MARGIN = 0.6  # seconds beyond the wait of a watch
GONE = 410
MS_PER_SECOND = 1000
REGISTRY_TABLE = "servers"
OPERATOR_TABLE = "op"
INSTANCE_TABLE = "instances"


class StoreClient:
    """The one client of the platform's store.

    Parameters
    ----------
    pool : HttpPool
    host : str
    port : int
    """

    def __init__(self, *, pool, host, port):
        self.pool = pool
        self.host = host
        self.port = port

    def get(self, path, reply, *, timeout=CALL_TIMEOUT):
        """Send a GET; `reply` gets the status, or None, and the body."""
        call(
            self.pool,
            reply,
            host=self.host,
            port=self.port,
            method="GET",
            path=path,
            timeout=timeout,
        )

    def put(self, table, key, value, reply, *, expected_ver=None):
        """Write a row; `reply` gets the status, or None, and the body.

        Parameters
        ----------
        expected_ver : int, optional
            Version that the row must have, 0 if it must not exist; status
            412 if it has another one.
        """
        row = {"table": table, "part": "", "key": key}
        expect = [] if expected_ver is None else [{**row, "ver": expected_ver}]
        value = base64.b64encode(value).decode()
        body = {"expect": expect, "put": [{**row, "value": value}], "remove": []}
        call(
            self.pool,
            reply,
            host=self.host,
            port=self.port,
            method="POST",
            path="/api/rows-tx",
            headers=(("Content-Type", "application/json"),),
            body=msgspec.json.encode(body),
            timeout=CALL_TIMEOUT,
        )

    def read_table(self, table, reply):
        """Read a table; `reply` gets StoreRows, or None, and a reason."""
        self._read_from(table, "", [], reply)

    def _read_from(self, table, first_key, pages, reply):
        """Read the rows from `first_key` on, after the pages that came."""

        def take(status, body):
            page, reason = _read_page(status, body)
            if page is None:
                reply(None, reason)
                return
            pages.append(page)
            if page.has_more and page.rows:
                self._read_from(table, page.rows[-1].key + "\0", pages, reply)
                return
            rows = [row for each in pages for row in each.rows]
            # A change after the first page is found by watching from there.
            reply(StoreRows(rows=rows, ver=pages[0].ver), "")

        path = f"/api/rows-get?table={table}&part="
        if first_key:
            path += f"&from={quote(first_key, safe='')}"
        self.get(path, take)

    def watch_table(self, table, cursor, wait, reply):
        """Wait for changes; `reply` gets rows, or None, and whether lost.

        `reply` gets StoreRows or None, a reason, and whether the history
        after `cursor` is gone.
        """

        def take(status, body):
            if status == GONE:
                reply(None, "the store dropped its history", True)
            else:
                reply(*_read_page(status, body), False)

        wait_ms = int(wait * MS_PER_SECOND)
        self.get(
            f"/api/rows-feed?table={table}&after={cursor}&wait-ms={wait_ms}",
            take,
            timeout=wait + WATCH_MARGIN,
        )


def _read_page(status, body):
    """Return the StoreRows of an answer, or None, and a reason."""
    if status != 200:
        return None, describe_failure(status, body)
    try:
        return read_rows(body), ""
    except ValueError as error:
        return None, str(error)


def _latest(rows):
    return max((row.ver for row in rows), default=0)


class StoreRegistry:
    """Implements `RegistrySource` on the table of registrations."""

    def __init__(self, *, client, log):
        self.client = client
        self.log = log
        self.skipped = {}
        self.rows = {}
        self.read_ver = 0

    def read(self, reply):
        """Read all registrations."""

        def take(rows, reason):
            if rows is None:
                reply(RegistryRead(False, reason=reason))
                return
            self.rows = {row.key: row for row in rows.rows}
            self.read_ver = rows.ver
            reply(self._registry_read(rows))

        self.client.read_table(REGISTRY_TABLE, take)

    def watch(self, cursor, wait, reply):
        """Wait for a change of the registrations."""

        def take(rows, reason, is_history_gone):
            if rows is None:
                reply(RegistryRead(is_history_gone, reason=reason))
                return
            # Another read may have overtaken this watch.
            news = [row for row in rows.rows if row.ver > self.read_ver]
            self.read_ver = max(self.read_ver, rows.ver)
            for row in news:
                self.rows.pop(row.key, None)
                if not row.removed:
                    self.rows[row.key] = row
            if news:
                reply(self._registry_read(rows))
            else:
                reply(RegistryRead(True, cursor=rows.ver))

        self.client.watch_table(REGISTRY_TABLE, cursor, wait, take)

    def _registry_read(self, rows):
        skipped = {}
        records = tuple(read_registry(self.rows.values(), skipped=skipped))
        for key in skipped.keys() - self.skipped.keys():
            self.log.decision("registration_skipped", outcome=key, reason=skipped[key])
        self.skipped = skipped
        return RegistryRead(
            True, records=records, cursor=rows.ver, changed=_latest(rows.rows)
        )


class StoreRouting:
    """Implements `RoutingSource` on the operator's table."""

    def __init__(self, *, client):
        self.client = client

    def read(self, reply):
        """Read the configuration."""

        def take(rows, reason):
            reply(_routing_read(rows) if rows else RoutingRead(False, reason=reason))

        self.client.read_table(OPERATOR_TABLE, take)

    def watch(self, cursor, wait, reply):
        """Wait for a change of the configuration."""

        def take(rows, reason, is_history_gone):
            if rows is None:
                reply(RoutingRead(is_history_gone, reason=reason))
            else:
                reply(_routing_read(rows))

        self.client.watch_table(OPERATOR_TABLE, cursor, wait, take)


class StoreMembership:
    """Implements `MembershipStore` on a table of the system's own."""

    def __init__(self, *, client, log):
        self.client = client
        self.log = log

    def announce(self, row, reply):
        """Write an instance's address."""

        def take(status, body):
            if status != 200:
                reason = describe_failure(status, body)
                self.log.decision("announcement", outcome="failed", reason=reason)
            reply(status == 200)

        self.client.put(INSTANCE_TABLE, row.instance, row.address.encode(), take)

    def read(self, reply):
        """Read the instances' addresses."""

        def take(rows, reason):
            if rows is None:
                self.log.decision("instances", outcome="unknown", reason=reason)
                reply(None)
            else:
                reply([_read_instance(row) for row in rows.rows])

        self.client.read_table(INSTANCE_TABLE, take)


def _read_instance(row):
    address = base64.b64decode(row.value).decode("ascii", "replace")
    return InstanceRow(instance=row.key, address=address, version=row.ver)


def _routing_read(rows):
    try:
        config = read_routing(rows.rows)
    except ValueError as error:
        return RoutingRead(False, reason=str(error))
    changed = _latest(rows.rows)
    return RoutingRead(True, config=config, cursor=rows.ver, changed=changed)
