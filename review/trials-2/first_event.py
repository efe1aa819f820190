"""A part of prompts crashes engines just after they begin to answer."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from standins import CRLF, Store, StreamEngine  # noqa: E402

ENGINES, INSTANCES = 6, 2
SECONDS = 24.0
STABLE_WINDOW = 3.0  # seconds
COUNTED_CRASHES, TOLERATED = 5, 3
BACK_AFTER = 2.0  # seconds until an engine that crashed is back
BAD = "bad0"
# "1": crash once an event has been written. "0": no crash at all. "before":
# crash before the first event, for comparison.
MODE = os.environ.get("TROUBLE", "1")


class CrashingEngine(StreamEngine):
    """Crashes once it begins to write an answer on the bad part."""

    pause, events = 0.03, 12
    on_crash = None
    arrivals = None

    async def run(self, writer, line, headers, body):
        parts = [p.split(":")[0] for p in headers["x-prompt-prefix"].split(",")]
        if BAD not in parts[:-1]:
            await super().run(writer, line, headers, body)
            return
        name = headers["x-request-id"]
        self.arrivals.append((time.monotonic(), name, self.name))
        if MODE == "0":
            await super().run(writer, line, headers, body)
            return
        await asyncio.sleep(self.pause)
        if MODE == "1":
            first = int(headers.get("last-event-id", 0)) + 1
            event = f"id: {first}\ndata: begun\n\n"
            head = [
                "HTTP/1.1 200 OK",
                f"X-Request-Id: {name}",
                f"X-Response-Stamp: stamp.{name}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            part = f"{len(event):x}{CRLF}{event}{CRLF}"
            writer.write((CRLF.join(head) + CRLF * 2 + part).encode())
            await writer.drain()
            await asyncio.sleep(self.pause)
        self.on_crash(self, name)


async def ask(record, port, name, parts, results):
    """Send one request, and note how its answer ended."""
    headers = {
        "X-Model": "m",
        "X-Token-Count": "160,12",
        "X-Prompt-Prefix": ",".join(parts),
        "X-Deadline-Ms": "5000",
    }
    data = b""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(harness.request("/talk/1", name, headers, body=name.encode()))
        until = time.monotonic() + 5
        while b"\r\n0\r\n\r\n" not in data and b"Content-Length: 0" not in data:
            left = until - time.monotonic()
            part = await asyncio.wait_for(reader.read(65536), left)
            if not part:
                break
            data += part
        writer.close()
    except (OSError, TimeoutError):
        pass
    is_whole = b"\r\n0\r\n\r\n" in data
    status = data[9:12].decode() or "none"
    results.append((name, status, is_whole))
    record(f"answered {name}: {status}{' whole' if is_whole else ''}")


async def case(record, scratch, instances):
    store = Store()
    await store.start()
    crashes, arrivals, count = [], [], 0

    async def start_engine(delay=0.0):
        nonlocal count
        await asyncio.sleep(delay)
        count += 1
        engine = CrashingEngine(name=f"e{count}", service="llm", stage="decode")
        engine.on_crash, engine.arrivals = on_crash, arrivals
        await engine.start()
        store.write([("servers", engine.name, engine.entry())])

    def on_crash(engine, name):
        if engine.server.is_serving():
            crashes.append(time.monotonic())
            record(f"engine {engine.name} crashed by {name}, crash {len(crashes)}")
            engine.crash()
            tasks.append(asyncio.create_task(start_engine(BACK_AFTER)))
            tasks.append(asyncio.create_task(lapse(engine)))

    async def lapse(engine):
        await asyncio.sleep(3.6)  # three heartbeats
        store.write((), [("servers", engine.name)])

    tasks = []
    for _ in range(ENGINES):
        await start_engine()
    routes = [harness.route("talk", "streaming", "llm", resumable=True)]
    services = [{"name": "llm", "max-connections": 600, "engine": harness.MODEL}]
    store.write([("op", "config", harness.configuration(3, routes, services))])
    for number in range(INSTANCES):
        instances.append(harness.Instance(f"front-{number}", store, scratch))
        instances[-1].start()
    for each in instances:
        await each.wait_ready()
    await asyncio.sleep(1.0)
    bad, sound = [], []
    begun = time.monotonic()
    number = 0
    while time.monotonic() < begun + SECONDS:
        number += 1
        port = instances[number % INSTANCES].callers
        name = f"sound{number}"
        parts = ["a1:100", f"{number:x}f:60"]
        tasks.append(asyncio.create_task(ask(record, port, name, parts, sound)))
        if number % 4 == 0:
            name = f"bad{number}"
            parts = ["a1:100", f"{BAD}:30", f"{number:x}e:30"]
            port = instances[number // 4 % INSTANCES].callers
            tasks.append(asyncio.create_task(ask(record, port, name, parts, bad)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    whole = sum(is_whole for _name, _status, is_whole in sound)
    record(f"{len(crashes)} crashes; sound requests served: {whole} of {len(sound)}")
    cut = sum(status == "200" and not is_whole for _name, status, is_whole in sound)
    failed = sum(status == "502" for _name, status, _is_whole in sound)
    record(f"sound requests accepted and lost: {cut} cut off, {failed} answered 502")
    if len(crashes) < COUNTED_CRASHES:
        return False
    counted_from = crashes[COUNTED_CRASHES - 1] + STABLE_WINDOW
    late = [name for at, name, _engine in arrivals if at > counted_from]
    record(f"requests with the part that reached engines later than the bound: {late}")
    return len(late) > TOLERATED


if __name__ == "__main__":
    harness.main(case, tempfile.mkdtemp())
