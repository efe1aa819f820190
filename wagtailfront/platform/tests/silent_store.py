"""The platform's store on a real socket whose connections can fall silent."""

import asyncio
import base64
import functools

import msgspec

from wagtailfront.platform.tests.store_pool import StorePool

__all__ = ["SilentStore", "read_request"]

MS_PER_SECOND = 1000
HOST = "127.0.0.1"
ANSWER_SECONDS = 0.004


async def read_request(reader):
    """Return method, target, head and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        _, _, rest = head.lower().partition(b"content-length:")
        length = int(rest.split(b"\r\n")[0]) if rest else 0
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _version = head.split(b"\r\n")[0].decode().split(" ")
    return method, target, head, body


class SilentStore:
    """Answers reads, watches and transactions of whole instances.

    Attributes
    ----------
    port : int
    silent : set
        Connections that are read, but on which nothing is answered.
    """

    def __init__(self):
        self.rows = StorePool()
        self.changed = asyncio.Condition()
        self.open = set()
        self.silent = set()
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=1000)
        self.port = server.sockets[0].getsockname()[1]

    async def start_view(self, translate):
        """Listen on another free port; return it.

        There `translate` is called with the table and each row that is read.
        """
        serve = functools.partial(self._serve, translate=translate)
        server = await asyncio.start_server(serve, HOST, 0, backlog=1000)
        return server.sockets[0].getsockname()[1]

    def silence(self):
        """Make all connections that are open silent; return how many."""
        self.silent |= self.open
        return len(self.open)

    async def write(self, table, key, value):
        """Write a row with `value` as JSON, or remove it if it is None."""
        text = value
        if value is not None:
            text = base64.b64encode(msgspec.json.encode(value)).decode()
        self.rows.write(table, key, text)
        await self._tell_watches()

    async def _tell_watches(self):
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer, translate=None):
        self.open.add(writer)
        try:
            await self._serve_requests(reader, writer, translate)
        finally:
            self.open.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer, translate):
        while (request := await read_request(reader)) is not None:
            method, target, _head, body = request
            if writer in self.silent:
                continue
            status, answer = await self._answer(method, target, body)
            if translate is not None and "rows" in answer:
                table = StorePool.read_query(target)["table"]
                answer["rows"] = [translate(table, row) for row in answer["rows"]]
            await asyncio.sleep(ANSWER_SECONDS)
            if writer not in self.silent:
                data = msgspec.json.encode(answer)
                head = b"HTTP/1.1 %d X\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % (status, len(data)) + data)

    async def _answer(self, method, target, body):
        loop = asyncio.get_running_loop()
        wait = int(StorePool.read_query(target).get("wait-ms", 0)) / MS_PER_SECOND
        until = loop.time() + wait
        while True:
            status, answer = self.rows.perform(method, target, body)
            if method == "POST":
                await self._tell_watches()
            left = until - loop.time()
            if status != 200 or answer.get("rows") or left <= 0:
                return status, answer
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue
