"""Clients of the platform's store."""

import base64
import logging
from urllib.parse import quote

import msgspec

from wagtailfront.forwarding.interfaces import (
    RegistryRead,
    RoutingRead,
    StorePosition,
)
from wagtailfront.freshness.store_clock import StoreTime, boot_clock
from wagtailfront.platform.calls import call
from wagtailfront.platform.rows import (
    StoreRows,
    read_registry,
    read_routing,
)
from wagtailfront.platform.skipped_rows import SkippedRows
from wagtailfront.platform.store_answers import read_era, read_page, read_store_time

__all__ = ["StoreClient", "StoreRegistry", "StoreRouting"]

logger = logging.getLogger(__name__)

CALL_TIMEOUT = 1.0  # seconds; a healthy store responds within milliseconds
WATCH_MARGIN = 0.6  # seconds by which a watch's timeout exceeds its wait
# Seconds without a byte of an answer that has begun. How long the whole one
# takes depends on the size of the table and on the instance's link.
STALL_TIMEOUT = 1.0
OK = 200
GONE = 410  # the store no longer has the history after the cursor
TOO_MANY = 429  # from here on the store has not handled the call
MS_PER_SECOND = 1000
REGISTRY_TABLE = "servers"
OPERATOR_TABLE = "op"


class _Watch:
    """A watch whose connection may have fallen silent."""

    def __init__(self, *, client, exchange):
        self.client = client
        self.exchange = exchange

    @property
    def is_arriving(self):
        """Return whether a part of the answer has been received."""
        return self.exchange.bytes_received > 0

    def cancel(self):
        """End the watch; the next call uses a new connection."""
        if self.exchange is not None:
            self.exchange.cancel()
        self.client.drop_idle()


class StoreClient:
    """HTTP client of the platform's store.

    Parameters
    ----------
    pool : HttpPool
    host : str
    port : int
    on_era : callable, optional
        Called with the era of an answer if it is later than before.
    on_answer : callable, optional
        Called when the store has handled a call, before `reply`.
    on_silence : callable, optional
        Called when a call got no answer, after `reply`.
    on_clock : callable, optional
        Called before `reply` with the StoreTime of each answer that has one.
    clock : callable, optional
        Returns the times of a StoreTime on this machine's clock.

    Attributes
    ----------
    era : int
        Latest era of the store in any answer. It is that of the answer
        itself while a reply is called, as answers of earlier eras are
        dropped.

    Notes
    -----
    All connections may fall silent at once. After a call without an answer
    the idle ones are closed, so that the next call opens a new one.
    """

    def __init__(
        self,
        *,
        pool,
        host,
        port,
        on_era=lambda era: None,
        on_answer=lambda: None,
        on_silence=lambda: None,
        on_clock=None,
        clock=boot_clock,
    ):
        self.pool = pool
        self.host = host
        self.port = port
        self.on_era = on_era
        self.on_answer = on_answer
        self.on_silence = on_silence
        self.on_clock = on_clock
        self.clock = clock
        self.era = 0

    def get(self, path, reply, *, timeout=CALL_TIMEOUT, max_body=None):
        """Send a GET.

        `reply` gets the status and the body, or None and the reason of the
        failure. The body is None if it is longer than `max_body`. Returns
        the call.
        """
        return self._call(
            reply, method="GET", path=path, timeout=timeout, max_body=max_body
        )

    def put(self, table, key, value, reply, *, expected_ver=None, removed=()):
        """Write a row; `reply` as for `get`.

        Parameters
        ----------
        expected_ver : int, optional
            Version that the row must have, 0 if it must not exist. The
            status is 412 if it has another one.
        removed : iterable of str, optional
            Keys of the table that the same transaction removes.
        """
        row = {"table": table, "part": "", "key": key}
        expect = [] if expected_ver is None else [{**row, "ver": expected_ver}]
        value = base64.b64encode(value).decode()
        remove = [{**row, "key": each} for each in removed]
        self._transact(
            reply, expect=expect, put=[{**row, "value": value}], remove=remove
        )

    def remove(self, table, key, reply):
        """Remove a row; `reply` as for `get`."""
        self._transact(reply, remove=[{"table": table, "part": "", "key": key}])

    def _transact(self, reply, *, expect=(), put=(), remove=()):
        body = {"expect": expect, "put": put, "remove": remove}
        self._call(
            reply,
            method="POST",
            path="/api/rows-tx",
            headers=(("Content-Type", "application/json"),),
            body=msgspec.json.encode(body),
            timeout=CALL_TIMEOUT,
        )

    def _call(self, reply, **request):
        is_outdated = False
        sent = self.clock()

        def on_headers(status, headers):
            nonlocal is_outdated
            era = read_era(headers)
            is_outdated = era is not None and era < self.era
            if era is not None and era > self.era:
                self.era = era
                self.on_era(era)

        def on_reply(status, body):
            if status is None:
                self.drop_idle()
            elif status < TOO_MANY:
                self.on_answer()
            if is_outdated:
                reply(None, "answer of an earlier era of the store")
            else:
                if status == OK:
                    self._record_clock(body, sent)
                reply(status, body)
            if status is None:
                self.on_silence()

        return call(
            self.pool,
            on_reply,
            on_headers=on_headers,
            host=self.host,
            port=self.port,
            stall_timeout=STALL_TIMEOUT,
            **request,
        )

    def _record_clock(self, body, sent):
        """Pass on the store's clock in an answer to a call."""
        if self.on_clock is None or not body:
            return
        store = read_store_time(body)
        if store is not None:
            self.on_clock(StoreTime(self.era, sent, self.clock(), store))

    def drop_idle(self):
        """Close the idle connections, which may be silent."""
        self.pool.drop_idle_to(self.host, self.port)

    def read_table(self, table, reply):
        """Read a table.

        `reply` gets StoreRows, or None and the reason of the failure.
        """
        self._read_from(table, "", [], reply)

    def _read_from(self, table, first_key, pages, reply):
        """Read the rows from `first_key` on and append them to `pages`."""
        era = self.era if pages else None

        def on_response(status, body):
            page, reason = read_page(status, body)
            if page is None:
                reply(None, reason)
                return
            if era not in (None, self.era):
                reply(None, "the store was restored during the read")
                return
            pages.append(page)
            if page.has_more and page.rows:
                self._read_from(table, page.rows[-1].key + "\0", pages, reply)
                return
            rows = [row for each in pages for row in each.rows]
            # A watch from the first page's version reports later changes.
            first = pages[0]
            reply(StoreRows(rows=rows, ver=first.ver, now_ms=first.now_ms), "")

        path = f"/api/rows-get?table={table}&part="
        if first_key:
            path += f"&from={quote(first_key, safe='')}"
        self.get(path, on_response)

    def position(self, ver):
        """Return the position of a version in the latest answer."""
        return StorePosition(self.era, ver)

    def watch_table(self, table, cursor, wait, reply, *, max_bytes=None):
        """Wait up to `wait` seconds for changes after `cursor`.

        `reply` gets StoreRows or None, the reason of a failure, and whether
        the table is to be read in full: the store no longer has the history
        after `cursor`, or the changes are larger than `max_bytes`. Returns
        the watch, which may be cancelled.
        """

        def on_response(status, body):
            if status == GONE:
                reason = f"the store no longer has the history after {cursor}"
                reply(None, reason, True)
            elif status == 200 and self.era != cursor.era:
                reason = f"the store was restored to era {self.era} after {cursor}"
                reply(None, reason, True)
            elif status == 200 and body is None:
                reason = f"the changes after {cursor} exceed {max_bytes} bytes"
                reply(None, reason, True)
            else:
                reply(*read_page(status, body), False)

        wait_ms = int(wait * MS_PER_SECOND)
        exchange = self.get(
            f"/api/rows-feed?table={table}&after={cursor.ver}&wait-ms={wait_ms}",
            on_response,
            timeout=wait + WATCH_MARGIN,
            max_body=max_bytes,
        )
        return _Watch(client=self, exchange=exchange)


def _latest_version(rows):
    return max((row.ver for row in rows), default=0)


class StoreRegistry:
    """Implements `RegistrySource` on the table of registrations.

    Attributes
    ----------
    skipped : SkippedRows
        Malformed registrations in the latest read.
    rows : dict of str to StoreRow
        Registrations by key.
    read_to : StorePosition
        Position up to which `rows` is current.
    """

    def __init__(self, *, client, log):
        self.client = client
        self.skipped = SkippedRows(kind="registration_skipped", log=log)
        self.rows = {}
        self.read_to = StorePosition()

    def read(self, reply):
        """Read all registrations."""

        def on_rows(rows, reason):
            if rows is None:
                reply(RegistryRead(False, reason=reason))
                return
            self.rows = {row.key: row for row in rows.rows}
            self.read_to = self.client.position(rows.ver)
            reply(self._registry_read(rows))

        self.client.read_table(REGISTRY_TABLE, on_rows)

    def watch(self, cursor, wait, reply, *, max_bytes=None):
        """Wait for a change of the registrations."""

        def on_rows(rows, reason, is_gap):
            if rows is None:
                reply(RegistryRead(is_gap, reason=reason))
                return
            position = self.client.position(rows.ver)
            # A later read may have completed before this watch.
            changed_rows = [
                row for row in rows.rows if self.client.position(row.ver) > self.read_to
            ]
            # It was written and removed since the last answer.
            is_gap = any(
                row.removed and row.key not in self.rows for row in changed_rows
            )
            self.read_to = max(self.read_to, position)
            for row in changed_rows:
                self.rows.pop(row.key, None)
                if not row.removed:
                    self.rows[row.key] = row
            if changed_rows:
                reply(self._registry_read(rows)._replace(is_gap=is_gap))
            else:
                changed = self.client.position(_latest_version(rows.rows))
                reply(RegistryRead(True, cursor=position, changed=changed))

        return self.client.watch_table(
            REGISTRY_TABLE, cursor, wait, on_rows, max_bytes=max_bytes
        )

    def _registry_read(self, rows):
        skipped = {}
        records = tuple(read_registry(self.rows.values(), skipped=skipped))
        self.skipped.replace(skipped)
        return RegistryRead(
            True,
            records=records,
            cursor=self.client.position(rows.ver),
            changed=self.client.position(_latest_version(rows.rows)),
        )


class StoreRouting:
    """Implements `RoutingSource` on the operators' table."""

    def __init__(self, *, client):
        self.client = client

    def read(self, reply):
        """Read the configuration."""

        def on_rows(rows, reason):
            reply(self._routing_read(rows, reason))

        self.client.read_table(OPERATOR_TABLE, on_rows)

    def watch(self, cursor, wait, reply, *, max_bytes=None):
        """Wait for a change of the configuration."""

        def on_rows(rows, reason, is_gap):
            if rows is None:
                reply(RoutingRead(is_gap, reason=reason))
            else:
                reply(self._routing_read(rows))

        return self.client.watch_table(
            OPERATOR_TABLE, cursor, wait, on_rows, max_bytes=max_bytes
        )

    def _routing_read(self, rows, reason=""):
        if rows is None:
            return RoutingRead(False, reason=reason)
        try:
            config = read_routing(rows.rows)
        except ValueError as error:
            return RoutingRead(False, reason=str(error))
        return RoutingRead(
            True,
            config=config,
            cursor=self.client.position(rows.ver),
            changed=self.client.position(_latest_version(rows.rows)),
            largest_row=max((len(row.value) for row in rows.rows), default=0),
            store_time=rows.store_time,
        )
