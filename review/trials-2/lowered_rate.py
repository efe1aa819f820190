"""Servers that name a rate lower it while requests wait for their turn."""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from standins import Engine, Store, encode  # noqa: E402

SERVERS, INSTANCES = 2, 2
FIRST_LIMIT, SECOND_LIMIT = 20.0, 2.0  # requests a second, of each server
BEFORE, AFTER = 10.0, 8.0  # seconds
RATE = 60.0  # requests a second
STABLE_WINDOW, WINDOW, PASSED_ON = 3.0, 4.0, 0.5  # seconds


class LimitedServer(Engine):
    """A plain service that names its rate in all answers."""

    limit = FIRST_LIMIT

    async def run(self, writer, line, headers, body):
        name = headers["x-request-id"]
        self.ran.append((time.monotonic(), name))
        await asyncio.sleep(0.02)
        answer = {
            "X-Request-Id": name,
            "X-Response-Stamp": f"stamp.{name}",
            "Server-Limit": self.limit,
            "X-Server": self.name,
        }
        writer.write(encode(200, answer, json.dumps({"done": name}).encode()))


async def ask(record, port, name, results):
    data = b""
    sent = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        headers = {"X-Deadline-Ms": "4000"}
        writer.write(harness.request("/book/1", name, headers, body=name.encode()))
        while b"\r\n\r\n" not in data:
            part = await asyncio.wait_for(reader.read(65536), 4.5)
            if not part:
                break
            data += part
        writer.close()
    except (OSError, TimeoutError):
        pass
    fields = dict(
        line.split(": ", 1) for line in data.decode().split("\r\n") if ": " in line
    )
    limit = float(fields.get("Server-Limit", 0))
    now = time.monotonic()
    results.append((now, port, data[9:12].decode(), limit, fields.get("X-Server")))
    record(
        f"answered {name} by {port} after {now - sent:.2f} s: "
        f"{data[9:12].decode() or 'none'}, limit {limit}"
    )


async def case(record, scratch, instances):
    store = Store()
    await store.start()
    servers = []
    for number in range(SERVERS):
        server = LimitedServer(name=f"e{number}", service="ledger", slots=16)
        await server.start()
        store.write([("servers", server.name, server.entry())])
        servers.append(server)
    routes = [harness.route("book", "unsafe", "ledger")]
    services = [{"name": "ledger", "max-connections": 600}]
    store.write([("op", "config", harness.configuration(3, routes, services))])
    for number in range(INSTANCES):
        instances.append(harness.Instance(f"front-{number}", store, scratch))
        instances[-1].start()
    for each in instances:
        await each.wait_ready()
    await asyncio.sleep(1.5)
    results, tasks, number = [], [], 0
    begun = time.monotonic()
    changed_at = begun + BEFORE
    is_changed = False
    while (passed := time.monotonic() - begun) < BEFORE + AFTER:
        if harness.TROUBLE and passed > BEFORE and not is_changed:
            is_changed, changed_at = True, time.monotonic()
            for server in servers:
                server.limit = SECOND_LIMIT
            record(f"both servers name {SECOND_LIMIT} instead of {FIRST_LIMIT}")
        number += 1
        port = instances[number % INSTANCES].callers
        tasks.append(asyncio.create_task(ask(record, port, f"{number:x}", results)))
        await asyncio.sleep(max(0, begun + number / RATE - time.monotonic()))
    await asyncio.gather(*tasks)
    record(f"served {sum(each[2] == '200' for each in results)} of {number}")
    limit = SECOND_LIMIT if harness.TROUBLE else FIRST_LIMIT
    is_broken = False
    for server in servers:
        # When each instance had passed on an answer of it with this limit.
        passed_on = [
            min(
                (at for at, p, _, rate, s in results if (p, rate, s) == key),
                default=float("inf"),
            )
            for key in ((each.callers, limit, server.name) for each in instances)
        ]
        since = max(passed_on) + PASSED_ON
        since = max(since, begun + STABLE_WINDOW)
        times = [at for at, _ in server.ran if at >= since]
        most = max((sum(t <= u < t + WINDOW for u in times) for t in times), default=0)
        allowed = 1.5 * limit * WINDOW + 5
        per_second = [0] * int(BEFORE + AFTER + 6)
        for at, _ in server.ran:
            per_second[min(len(per_second) - 1, int(at - begun))] += 1
        record(f"{server.name}: requests that reached it, by second: {per_second}")
        record(
            f"{server.name}: counted from {since - changed_at:+.2f} s after the "
            f"change; most in {WINDOW:.0f} s: {most}; allowed: {allowed:.0f}"
        )
        is_broken |= most > allowed
    return is_broken


if __name__ == "__main__":
    harness.main(case, tempfile.mkdtemp())
