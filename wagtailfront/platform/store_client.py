"""Calls to the platform's store."""

import base64

import msgspec

from wagtailfront.forwarding.interfaces import InstanceRow, RoutingRead
from wagtailfront.platform.rows import read_registry, read_routing, read_rows
from wagtailfront.transport.http_client import WholeResponse

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
        sink = WholeResponse(
            lambda status, headers, body: reply(
                status, headers if status is None else body
            )
        )
        sink.exchange = self.pool.request(
            host=self.host,
            port=self.port,
            method="GET",
            path=path,
            sink=sink,
            timeout=timeout,
        )

    def put(self, table, key, value, reply):
        """Write a row; `reply` gets whether it was written, and a reason."""
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        body = {"expect": [], "put": [row], "remove": []}

        def take(status, headers, answer):
            known = f"status {status}" if status else str(headers)
            reply(status == 200, "" if status == 200 else known)

        sink = WholeResponse(take)
        sink.exchange = self.pool.request(
            host=self.host,
            port=self.port,
            method="POST",
            path="/api/rows-tx",
            headers=(("Content-Type", "application/json"),),
            body=msgspec.json.encode(body),
            sink=sink,
            timeout=CALL_TIMEOUT,
        )

    def read_table(self, table, reply):
        """Read a table; `reply` gets StoreRows, or None, and a reason."""

        def take(status, body):
            if status != 200:
                reply(None, f"status {status}" if status else str(body))
                return
            try:
                rows = read_rows(body)
            except ValueError as error:
                reply(None, str(error))
                return
            reply(rows, "")

        self.get(f"/api/rows-get?table={table}&part=", take)


class StoreRegistry:
    """Implements `RegistrySource` on the table of registrations."""

    def __init__(self, *, client, log):
        self.client = client
        self.log = log
        self.skipped = {}

    def read(self, reply):
        """Read all registrations."""

        def take(rows, reason):
            if rows is None:
                reply(None)
                return
            skipped = {}
            records = read_registry(rows.rows, skipped=skipped)
            for key in skipped.keys() - self.skipped.keys():
                self.log.decision(
                    "registration_skipped", outcome=key, reason=skipped[key]
                )
            self.skipped = skipped
            reply(records)

        self.client.read_table(REGISTRY_TABLE, take)


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

        def take(status, body):
            if status == GONE:
                reply(RoutingRead(True, reason="the store dropped its history"))
                return
            if status != 200:
                reason = f"status {status}" if status else str(body)
                reply(RoutingRead(False, reason=reason))
                return
            try:
                rows = read_rows(body)
            except ValueError as error:
                reply(RoutingRead(False, reason=str(error)))
                return
            reply(_routing_read(rows))

        wait_ms = int(wait * MS_PER_SECOND)
        self.client.get(
            f"/api/rows-feed?table={OPERATOR_TABLE}&after={cursor}&wait-ms={wait_ms}",
            take,
            timeout=wait + WATCH_MARGIN,
        )


class StoreMembership:
    """Implements `MembershipStore` on a table of the system's own."""

    def __init__(self, *, client, log):
        self.client = client
        self.log = log

    def announce(self, row, reply):
        """Write an instance's address."""

        def take(written, reason):
            if not written:
                self.log.decision("announcement", outcome="failed", reason=reason)
            reply(written)

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
    return RoutingRead(True, config=config, cursor=rows.ver)
