"""Equal lookups after servers have dropped idle connections without notice."""

import asyncio
import json
import pathlib
import socket
import struct
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from standins import Engine, Store, encode, read_message  # noqa: E402

SERVERS, INSTANCES = 2, 3
WORK = 0.0225  # seconds
RATE = {"/page/": 6.0, "/look/": 4.0}  # of all instances
DEADLINE = 1159  # ms
ADDED, BEGIN, END = 3.0, 6.0, 68.0  # seconds; requests of the added route
FORGET_FROM, FORGET_UNTIL, RESTED = 12.0, 17.0, 0.3
STABLE_AGAIN = FORGET_UNTIL + 4.0
LEAST = 20


class Server(Engine):
    """A plain service that may forget connections which rested for a while."""

    forgets = lambda self: False  # noqa: E731
    resets = 0

    async def run(self, writer, line, headers, body):
        name = headers["x-request-id"]
        self.ran.append((time.monotonic(), name))
        await asyncio.sleep(WORK)
        answer = {
            "X-Request-Id": name,
            "X-Response-Stamp": f"stamp.{name}",
            "Keep-Alive": "timeout=10",
        }
        writer.write(encode(200, answer, json.dumps({"done": name}).encode()))

    async def _serve(self, reader, writer):
        rested_since = None
        while (message := await read_message(reader)) is not None:
            now = time.monotonic()
            rested = 0.0 if rested_since is None else now - rested_since
            if rested > RESTED and self.forgets():
                # Nothing of what was sent is run.
                self.resets += 1
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return
            await self._answer(writer, *message)
            await writer.drain()
            rested_since = time.monotonic()
        writer.close()


async def ask(record, port, path, name, results):
    data, sent = b"", time.monotonic()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        headers = {"X-Deadline-Ms": DEADLINE}
        writer.write(harness.request(f"{path}1", name, headers, "GET", b""))
        while b"\r\n\r\n" not in data:
            left = sent + DEADLINE / 1000 - time.monotonic()
            part = await asyncio.wait_for(reader.read(65536), max(0.0, left))
            if not part:
                break
            data += part
        writer.close()
    except (OSError, TimeoutError):
        pass
    status = data[9:12].decode() or "none"
    results.append((sent, status))
    record(f"answered {name} by {port}: {status} after {time.monotonic() - sent:.3f} s")


async def case(record, scratch, instances):
    store = Store()
    await store.start()
    servers = {"pages": [], "ledger": []}
    for service, members in servers.items():
        for number in range(SERVERS):
            server = Server(name=f"{service}-{number}", service=service, slots=6)
            await server.start()
            store.write([("servers", server.name, server.entry())])
            members.append(server)
    times = {"timeout-ms": 2000}
    routes = [harness.route("page", "safe", "pages", **times)]
    services = [{"name": name, "max-connections": 560} for name in servers]
    store.write([("op", "config", harness.configuration(3, routes, services))])
    for number in range(INSTANCES):
        instances.append(harness.Instance(f"front-{number}", store, scratch))
        instances[-1].start()
    for each in instances:
        await each.wait_ready()
    await asyncio.sleep(1.5)
    results = {path: [] for path in RATE}
    tasks, begun = [], time.monotonic()

    def forgets():
        passed = time.monotonic() - begun
        return harness.TROUBLE and FORGET_FROM <= passed < FORGET_UNTIL

    for server in servers["ledger"]:  # none is spared
        server.forgets = forgets

    async def send(path, first):
        for number in range(int((END - first) * RATE[path])):
            at = begun + first + number / RATE[path]
            await asyncio.sleep(max(0, at - time.monotonic()))
            port = instances[number % INSTANCES].callers
            name = f"{path.strip('/')}{number}"
            step = ask(record, port, path, name, results[path])
            tasks.append(asyncio.create_task(step))

    async def add_route():
        await asyncio.sleep(ADDED)
        more = [*routes, harness.route("look", "safe", "ledger", **times)]
        store.write([("op", "config", harness.configuration(5, more, services))])
        record("the route /look/ is added")

    await asyncio.gather(add_route(), send("/page/", 0.0), send("/look/", BEGIN))
    await asyncio.gather(*tasks)

    def count(path, first, last):
        chosen = [s for at, s in results[path] if first <= at - begun < last]
        return sum(status == "200" for status in chosen), len(chosen)

    def count_steady(path):
        parts = count(path, BEGIN, FORGET_FROM), count(path, STABLE_AGAIN, END)
        return tuple(map(sum, zip(*parts, strict=True)))

    resets = [server.resets for server in servers["ledger"]]
    record(f"requests that were reset on connections that had rested: {resets}")
    record(f"added route before: {count('/look/', BEGIN, FORGET_FROM)}")
    record(f"added route afterwards: {count('/look/', STABLE_AGAIN, END)}")
    old_served, old = count_steady("/page/")
    new_served, new = count_steady("/look/")
    record(f"first route: {old_served} of {old}; added route: {new_served} of {new}")
    return new >= LEAST and new_served / new < 0.25 * old_served / old


if __name__ == "__main__":
    harness.main(case, FOLDER)
