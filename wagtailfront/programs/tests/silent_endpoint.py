"""Sound endpoint of a play that falls silent at times and goes on."""

import asyncio
import contextlib
import re
import socket
import struct

from wagtailfront.platform.tests.silent_store import HOST, read_request
from wagtailfront.platform.tests.wire import (
    HANDLE,
    PREFILL_LINE,
    event_stream_headers,
    header_lines,
    resumed_event,
    signed_response,
)

__all__ = ["RESET_ON_CLOSE", "SilentEndpoint"]

REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)
NOT_FOUND = b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
OWN_SILENCE = 0.004  # share of the steps of an answer that are silent by themselves
HEAD_SILENCE = 0.2  # share of streams that are silent after their head
SILENCE = (0.8, 1.5)  # seconds
IDLE_RESET = 0.03  # share of answers after which the idle connection is reset
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 seconds


class SilentEndpoint:
    """Streams events to model requests, and answers others at once.

    Parameters
    ----------
    name, version : str
    rng : random.Random
    checker : AnswerChecker

    Attributes
    ----------
    silent_until : float
        Time of the loop until which nothing is sent on any connection.
    """

    def __init__(self, *, name, version, rng, checker):
        self.name = name
        self.version = version
        self.rng = rng
        self.checker = checker
        self.silent_until = 0.0
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=500)
        self.port = server.sockets[0].getsockname()[1]

    def silence(self):
        """Send nothing for a second or so."""
        now = asyncio.get_running_loop().time()
        self.silent_until = now + self.rng.uniform(*SILENCE)

    async def _serve(self, reader, writer):
        try:
            with contextlib.suppress(ConnectionError):
                await self._serve_requests(reader, writer)
        finally:
            writer.close()

    async def _serve_requests(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            head = request[2]
            named = REQUEST_ID.search(head)
            if named is None:
                writer.write(NOT_FOUND)
                continue
            await self._answer(head, named[1], writer)
            if self.rng.random() < IDLE_RESET:
                await asyncio.sleep(0.02 * self.rng.random())
                self._reset(writer)
                return

    async def _answer(self, head, request_id, writer):
        label = request_id.decode()
        self.checker.trace(label, f"{self.name} got it")
        try:
            if PREFILL_LINE.lower() in head.lower():
                await self._send(label, writer, signed_response(request_id, HANDLE))
            elif b"x-model" in head.lower():
                await self._stream(label, head, request_id, writer)
            else:
                body = b"/" + request_id
                await asyncio.sleep(0.02 * self.rng.random())
                await self._send(label, writer, signed_response(request_id, body))
        except ConnectionError:
            self.checker.trace(label, f"{self.name} was closed")
            raise
        self.checker.trace(label, f"{self.name} finished")

    async def _stream(self, label, head, request_id, writer):
        lines = header_lines(event_stream_headers(request_id))
        await asyncio.sleep(0.05 * self.rng.random())
        await self._send(label, writer, STREAM_HEAD + lines + b"\r\n")
        await self._pass(label, writer, HEAD_SILENCE)
        count, gap = self.rng.randint(3, 20), self.rng.uniform(0.02, 0.12)
        for number in range(resumed_event(head) + 1, count + 1):
            event = b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            await self._send(label, writer, b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(gap)
        await self._send(label, writer, b"0\r\n\r\n")

    async def _send(self, label, writer, data):
        """Send bytes in two parts, with a silence before or between them."""
        await self._pass(label, writer)
        cut = self.rng.choice([0, self.rng.randrange(len(data))])
        if cut:
            writer.write(data[:cut])
            await writer.drain()
            await self._pass(label, writer)
        writer.write(data[cut:])
        await writer.drain()

    async def _pass(self, label, writer, share=OWN_SILENCE):
        loop = asyncio.get_running_loop()
        until = self.silent_until
        if self.rng.random() < share:
            until = max(until, loop.time() + self.rng.uniform(*SILENCE))
        if until > loop.time():
            self.checker.trace(label, f"{self.name} fell silent")
            while (left := max(until, self.silent_until) - loop.time()) > 0:
                await asyncio.sleep(left)
            self.checker.trace(label, f"{self.name} went on")
            if writer.transport.is_closing():
                raise ConnectionResetError

    def _reset(self, writer):
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
