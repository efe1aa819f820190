"""Proxy on loopback whose connections hang, are reset, refused or slow."""

import asyncio
import contextlib
import math

__all__ = ["HANG", "REFUSE", "RESET", "LoopbackProxy"]

HOST = "127.0.0.1"
READ_BYTES = 16384
# Open and new connections carry nothing.
HANG = "hang"
# Open connections are reset, and new ones refused.
RESET = "reset"
# Open connections go on, and new ones are refused.
REFUSE = "refuse"


class LoopbackProxy:
    """Passes connections on to one port of this machine.

    Parameters
    ----------
    target : int
        Port to connect to.
    bytes_per_second : float, optional
        Rate of what the target sends.

    Attributes
    ----------
    port : int
    """

    def __init__(self, *, target, bytes_per_second=math.inf):
        self.target = target
        self.bytes_per_second = bytes_per_second
        self.port = 0
        self.server = None
        self.writers = set()
        self.is_passing = asyncio.Event()
        self.is_passing.set()

    async def start(self):
        """Listen on a free port, or on the one before."""
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=1000
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def cut(self, how):
        """Begin a fault: HANG, RESET or REFUSE."""
        if how == HANG:
            self.is_passing.clear()
            return
        self.server.close()
        if how == RESET:
            for writer in self.writers:
                writer.transport.abort()

    async def heal(self):
        """End the fault; what was held up arrives."""
        self.is_passing.set()
        if not self.server.is_serving():
            await self.start()

    async def close(self):
        """Stop listening and end all connections."""
        self.server.close()
        self.is_passing.set()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        await self.is_passing.wait()
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
            self.writers |= {writer, far_writer}
            try:
                await asyncio.gather(
                    self._pass_on(reader, far_writer, math.inf),
                    self._pass_on(far_reader, writer, self.bytes_per_second),
                )
            finally:
                self.writers -= {writer, far_writer}
                far_writer.transport.abort()
        writer.transport.abort()

    async def _pass_on(self, reader, writer, bytes_per_second):
        while data := await reader.read(READ_BYTES):
            await asyncio.sleep(len(data) / bytes_per_second)
            await self.is_passing.wait()
            writer.write(data)
            await writer.drain()
        await self.is_passing.wait()
        if writer.can_write_eof():
            writer.write_eof()
