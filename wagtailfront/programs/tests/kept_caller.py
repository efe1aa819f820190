"""Caller that sends requests on a kept connection."""

import asyncio
import re
import time

from wagtailfront.platform.tests.silent_store import HOST
from wagtailfront.platform.tests.wire import (
    caller_headers,
    header_lines,
    prompt_headers,
)
from wagtailfront.programs.tests.answer_checker import Ending
from wagtailfront.programs.tests.known_limits import LIMIT_SHARE

__all__ = ["KeptCaller", "read_response"]

EVENT = re.compile(rb"id: (\d+)\ndata: \S+\n\n")
EXPECTING = 0.05  # share of requests that do not wait for the interim response
PATIENCE = 1.0  # seconds that a caller waits beyond its deadline
REFUSED_PAUSE = 0.1  # seconds after a connection that was refused
PATHS = ("/chat/", "/tag/", "/batch/", "/book/", "/look/")
MODEL_PATHS = PATHS[:3]
SECONDS = {path: (3.0, 5.0, 6.0) for path in MODEL_PATHS} | {
    path: (1.0,) for path in PATHS[3:]
}


async def read_response(reader, received):
    """Read one response; add its bytes to `received` as they arrive.

    Returns
    -------
    bool
        Whether the connection is kept.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        If the connection ends before the response is whole.
    """
    head = b"HTTP/1.1 100 "
    while head.startswith(b"HTTP/1.1 100 "):
        head = await reader.readuntil(b"\r\n\r\n")
    received += head
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        size = None
        while size != 0:
            size = int(await reader.readuntil(b"\r\n"), 16)
            received += (await reader.readexactly(size + 2))[:-2]
    else:
        length = int(lower.partition(b"content-length: ")[2].split(b"\r\n")[0])
        received += await reader.readexactly(length)
    return b"connection: close" not in lower


class KeptCaller:
    """Sends requests to one instance and records how each of them ends.

    Parameters
    ----------
    fleet : SilenceFleet
    label : str
    rng : random.Random
    """

    def __init__(self, *, fleet, label, rng):
        self.fleet = fleet
        self.label = label
        self.rng = rng
        self.number = 0
        self.streams = None
        self.instance = 0

    async def run(self, until):
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            try:
                await self._connect()
            except ConnectionRefusedError:
                await asyncio.sleep(REFUSED_PAUSE)
                continue
            if not await self._exchange():
                self._close()
            idle = LIMIT_SHARE * self.fleet.known.widest("idle-timeout-ms") / 1000
            await asyncio.sleep(idle * self.rng.choice([0.0, 0.0, 0.1, 1.0]))
        self._close()

    def _close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def _connect(self):
        if self.streams is None:
            self.instance = self.rng.randrange(self.fleet.size)
            port = self.fleet.callers[self.instance]
            self.streams = await asyncio.open_connection(HOST, port)

    async def _exchange(self):
        """Send some requests and read their answers; return if it is kept."""
        path = self.rng.choice(PATHS)
        count = self.rng.choice([1, 1, 1, 2, 3])
        sent = asyncio.Queue()
        sending = asyncio.ensure_future(self._send_all(path, count, sent))
        closed_by, since = "", 0.0
        while (request := await sent.get()) is not None:
            name, limit, sent_at = request
            begun_at = max(since, sent_at)
            ending, is_kept = await self._read(name, path, limit, begun_at, closed_by)
            self.fleet.answers.record_ending(ending)
            closed_by = closed_by or ("" if is_kept else name)
            since = ending.ended_at
        return not closed_by and not await sending

    async def _send_all(self, path, count, sent):
        """Send requests; return whether the sending side has ended."""
        writer = self.streams[1]
        is_half_closed = self.rng.random() < self.fleet.half_closed
        try:
            for _ in range(count):
                await sent.put(await self._send(writer, path))
            if is_half_closed:
                writer.write_eof()
        except ConnectionError:
            is_half_closed = True  # the last request was not sent whole
        await sent.put(None)
        return is_half_closed

    async def _read(self, request, path, limit, since, closed_by):
        received, failure = bytearray(), closed_by and "behind a close"
        is_kept = False
        try:
            async with asyncio.timeout(since + limit + PATIENCE - time.monotonic()):
                if not closed_by:
                    is_kept = await read_response(self.streams[0], received)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            failure, is_kept = repr(error), False
        status = int(received.split(b" ")[1]) if received else 0
        events = tuple(int(number) for number in EVENT.findall(received))
        ending = Ending(
            request=request,
            instance=f"i{self.instance}",
            path=path,
            limit=limit,
            sent_at=since,
            ended_at=time.monotonic(),
            status=status,
            failure=failure,
            events=events,
            behind=closed_by,
        )
        return ending, is_kept

    async def _send(self, writer, path):
        self.number += 1
        request = f"{self.label}-{self.number}."
        limit = self.rng.choice(SECONDS[path])
        message = self._encode(request, path, limit)
        cut = self.rng.randrange(len(message))
        pause = LIMIT_SHARE * self.fleet.known.widest("header-timeout-ms") / 1000
        writer.write(message[:cut])
        await asyncio.sleep(pause * self.rng.choice([0.0, 0.0, 0.0, 0.1, 1.0]))
        writer.write(message[cut:])
        await writer.drain()
        return request, limit, time.monotonic()

    def _encode(self, request, path, limit):
        headers = caller_headers(request.encode(), seconds=limit)
        if self.rng.random() < EXPECTING:
            headers.append((b"Expect", b"100-continue"))
        if path in MODEL_PATHS:
            part = b"p%d" % self.rng.randrange(40)
            tokens = self.rng.choice([100, 2000, 20000])
            headers += prompt_headers(model=b"m", tokens=tokens, part=part)
        longest = int(LIMIT_SHARE * self.fleet.known.widest("max-body-bytes"))
        body = b"x" * self.rng.choice([0, 10, 1000, longest])
        head = b"POST %b HTTP/1.1\r\n" % path.encode() + header_lines(headers)
        if self.rng.random() < 0.5:
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
