"""Small stand-ins of the platform's store and of engines, for the scripts.

They speak what PROTOCOL.md says, on loopback addresses, with the standard
library only.
"""

import asyncio
import base64
import json
import time
import urllib.parse

CRLF = "\r\n"


async def read_message(reader):
    """Return first line, headers and body of an HTTP message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split(CRLF)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readline()


def encode(status, headers, body=b""):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return (CRLF.join(lines) + CRLF * 2).encode("latin-1") + body


class Store:
    """The platform's store: rows, transactions and feeds.

    `outage` is None, "busy" (503, nothing done) or "silent" (no answer).
    """

    def __init__(self, era=1):
        self.era = era
        self.ver = 0
        self.rows = {}  # (table, key) -> (value, ver)
        self.changes = []  # (ver, table, key, value or None)
        self.outage = None
        self.changed = asyncio.Event()

    async def start(self, port=0):
        server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = server.sockets[0].getsockname()[1]

    def copy(self):
        """Return a copy from which the store can come back."""
        return self.ver, dict(self.rows), list(self.changes)

    def restore(self, copy):
        """Come back from a copy: versions go back, and the era rises."""
        self.ver, self.rows, self.changes = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1

    def set_outage(self, kind):
        """Begin or end an outage; it ends the watches that are open."""
        self.outage = kind
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, puts=(), removed=()):
        """Apply one transaction of (table, key, bytes) and (table, key)."""
        self.ver += 1
        for table, key, value in puts:
            text = base64.b64encode(value).decode()
            self.rows[table, key] = (text, self.ver)
            self.changes.append((self.ver, table, key, text))
        for table, key in removed:
            if self.rows.pop((table, key), None) is not None:
                self.changes.append((self.ver, table, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if self.outage == "silent":
                    await asyncio.sleep(3600)
                if self.outage == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = await self._handle(*message)
                if self.outage == "busy":
                    status, answer = 503, {}
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(encode(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, rows, **more):
        now = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.ver, "now-ms": now, **more}

    async def _handle(self, line, headers, body):
        _method, target, _version = line.split(" ")
        path, _mark, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if path == "/api/rows-get":
            return 200, self._get(query)
        if path == "/api/rows-feed":
            if int(query["after"]) > self.ver:
                return 410, {}
            return 200, await self._feed(query)
        return 404, {}

    def _transact(self, call):
        expected = call.get("expect", ())
        for each in expected:
            key = each["table"], each["key"]
            if self.rows.get(key, (None, 0))[1] != each["ver"]:
                found = [e for e in expected if (e["table"], e["key"]) in self.rows]
                rows = [self._row(e["table"], e["key"]) for e in found]
                return 412, self._answer(rows)
        puts = [
            (e["table"], e["key"], base64.b64decode(e["value"]))
            for e in call.get("put", ())
        ]
        removed = [(e["table"], e["key"]) for e in call.get("remove", ())]
        if any(each[0] in ("op", "servers") for each in (*puts, *removed)):
            return 403, {}
        self.write(puts, removed)
        return 200, self._answer([])

    def _row(self, table, key):
        value, ver = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def _get(self, query):
        keys = sorted(k for t, k in self.rows if t == query["table"])
        keys = [k for k in keys if k >= query.get("from", "")]
        if "to" in query:
            keys = [k for k in keys if k < query["to"]]
        limit = int(query.get("limit", 500))
        rows = [self._row(query["table"], k) for k in keys[:limit]]
        return self._answer(rows, **{"has-more": len(keys) > limit})

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        era = self.era
        while True:
            found = [c for c in self.changes if c[0] > after and c[1] == table]
            left = until - time.monotonic()
            if found or left <= 0 or self.outage or era != self.era:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
        rows = []
        for ver, _table, key, value in found:
            row = {"table": table, "part": "", "key": key, "ver": ver}
            row |= {"removed": True} if value is None else {"value": value}
            rows.append(row)
        return self._answer(rows, **{"has-more": False})


class Engine:
    """One start of an engine; `run` answers a request that it may run."""

    def __init__(self, *, name, service, version="1.0", stage="", slots=16):
        self.name, self.service, self.version = name, service, version
        self.stage, self.slots = stage, slots
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.ran = []
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        """Return its registration as bytes."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 0,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
        return json.dumps(entry).encode()

    def crash(self):
        """End at once; all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(writer, *message)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, writer, line, headers, body):
        path = line.split(" ")[1]
        if path == "/health":
            writer.write(encode(200, {"X-Instance-Id": self.name}))
        elif path.startswith("/api/kv-list"):
            held = {"epoch": 1, "next": 0, "held": []}
            writer.write(encode(200, {}, json.dumps(held).encode()))
        elif path.startswith("/api/"):
            writer.write(encode(400, {"X-Not-Executed": 1}))
        elif headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode(421, {"X-Not-Executed": 1}))
        else:
            await self.run(writer, line, headers, body)

    async def run(self, writer, line, headers, body):
        raise NotImplementedError


class StreamEngine(Engine):
    """Streams numbered events that name the software version."""

    pause, events = 0.1, 40

    async def run(self, writer, line, headers, body):
        name = headers["x-request-id"]
        first = int(headers.get("last-event-id", 0)) + 1
        self.ran.append((time.monotonic(), name, first))
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {name}",
            f"X-Response-Stamp: stamp.{name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write((CRLF.join(head) + CRLF * 2).encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: version {self.version} of {self.name}\n\n"
            writer.write(f"{len(event):x}{CRLF}{event}{CRLF}".encode())
            await writer.drain()
        writer.write(f"0{CRLF}{CRLF}".encode())
