"""Streams of clients, and engines that are upgraded in place."""

import asyncio
import re
import time

import harness
from standins import StreamEngine

ENGINES, UPGRADED = 6, 3  # of one service; the site's `release` takes 2 or 3
STREAM_RATE = 50.0  # a second, as on the sheet
TOLERATED = 2
DOWN = 0.3  # seconds until an upgraded engine serves again
MODEL = {**harness.MODEL, "slots": 128}


class Engine(StreamEngine):
    pause, events = 0.1, 40


class Deployment:
    """One instance, one service of engines, and the streams of clients."""

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.engines, self.tasks = {}, []

    async def start(self, scratch, instances):
        """Start all, and check with one stream that they work."""
        await self.store.start()
        for number in range(ENGINES):
            name = f"e{number + 1}"
            engine = Engine(name=name, service="llm", stage="decode", slots=128)
            await engine.start()
            self.engines[name] = engine
            self.store.write([("servers", name, engine.entry())])
        routes = [harness.route("talk", "streaming", "llm", resumable=True)]
        services = [{"name": "llm", "max-connections": 610, "engine": MODEL}]
        config = harness.configuration(3, routes, services)
        self.store.write([("op", "config", config)])
        self.instance = harness.Instance("front-1", self.store, scratch)
        instances.append(self.instance)
        self.instance.start()
        await self.instance.wait_ready()
        first = await self.stream("warm")
        if first != {"1.0"}:
            raise harness.CannotRun(f"the first stream was {first}")

    async def stream(self, name):
        """Return the software versions whose events one stream holds."""
        headers = {
            "X-Model": "m",
            "X-Token-Count": "100,40",
            "X-Prompt-Prefix": f"a1:60,{name}:40",
            "X-Deadline-Ms": "8000",
        }
        port = self.instance.callers
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(harness.request("/talk/1", name, headers))
        self.record(f"sent {name}")
        data, until = b"", time.monotonic() + 9
        try:
            while b"\r\n0\r\n\r\n" not in data:
                left = until - time.monotonic()
                part = await asyncio.wait_for(reader.read(65536), left)
                if not part:
                    break
                data += part
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        spans = {}
        for number, version, engine in re.findall(
            rb"id: (\d+)\ndata: version (\S+) of (\S+)", data
        ):
            span = spans.setdefault(f"{version.decode()} at {engine.decode()}", [])
            span.append(int(number))
        told = {key: f"events {min(span)}-{max(span)}" for key, span in spans.items()}
        self.record(f"answered {name}: {data[9:12].decode()} {told}")
        return {key.split(" ")[0] for key in spans}

    async def send(self, seconds):
        """Begin streams for so long."""
        begun, number = time.monotonic(), len(self.tasks)
        for step in range(int(seconds * STREAM_RATE)):
            at = begun + step / STREAM_RATE
            await asyncio.sleep(max(0, at - time.monotonic()))
            task = asyncio.create_task(self.stream(f"s{number + step}"))
            self.tasks.append(task)

    async def upgrade(self, name):
        """Start an engine again under its id, with the next version."""
        before = self.engines[name]
        before.crash()
        self.record(f"engine {name}, version {before.version}, ended")
        await asyncio.sleep(DOWN)
        after = Engine(
            name=name, service="llm", version="1.1", stage="decode", slots=128
        )
        await after.start(before.port)
        self.engines[name] = after
        self.record(f"engine {name}, version 1.1, started; born {after.born}")
        if self.store.outage is None:
            self.register(name)

    def register(self, name):
        """Write the entry of an engine."""
        self.store.write([("servers", name, self.engines[name].entry())])
        self.record(f"engine {name} is registered")

    async def is_broken(self):
        """Return whether too many streams hold events of two versions."""
        found = await asyncio.gather(*self.tasks)
        mixed = [f"s{n}" for n, versions in enumerate(found) if len(versions) > 1]
        self.record(f"{len(mixed)} of {len(found)} streams hold two versions: {mixed}")
        return len(mixed) > TOLERATED


async def at(begun, seconds):
    """Wait until so many seconds after a time."""
    await asyncio.sleep(max(0, begun + seconds - time.monotonic()))
