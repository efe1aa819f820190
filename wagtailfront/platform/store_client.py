"""Calls to the platform's store."""

from wagtailfront.forwarding.interfaces import RoutingRead
from wagtailfront.platform.rows import read_registry, read_routing, read_rows
from wagtailfront.transport.http_client import WholeResponse

__all__ = ["StoreClient", "StoreRegistry", "StoreRouting"]

CALL_TIMEOUT = 1.0  # seconds; the store answers in milliseconds when it is well
WATCH_MARGIN = 0.6  # seconds beyond the wait of a watch
GONE = 410
MS_PER_SECOND = 1000
REGISTRY_TABLE = "servers"
OPERATOR_TABLE = "op"


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


def _routing_read(rows):
    try:
        config = read_routing(rows.rows)
    except ValueError as error:
        return RoutingRead(False, reason=str(error))
    return RoutingRead(True, config=config, cursor=rows.ver)
