"""Calls of a service after each instance has been frozen once."""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from standins import Engine, Store, encode  # noqa: E402

SERVERS, INSTANCES = 4, 6
WORK = {"/page/": 0.005, "/book/": 0.0225, "/look/": 0.0225}  # seconds
RATE = {"/page/": 12.0, "/book/": 12.6, "/look/": 5.0}  # of all instances
DEADLINE = {"/page/": 1000, "/book/": 1000, "/look/": 1000}  # ms
FIRST_FREEZE, BETWEEN, FROZEN = 6.0, 4.5, 3.5  # seconds
ADDED, COUNTED, END = 37.0, 40.0, 62.0
LEAST = 20


class Server(Engine):
    """A plain service."""

    async def run(self, writer, line, headers, body):
        name = headers["x-request-id"]
        path = next(path for path in WORK if path in line)
        await asyncio.sleep(WORK[path])
        answer = {"X-Request-Id": name, "X-Response-Stamp": f"stamp.{name}"}
        writer.write(encode(200, answer, json.dumps({"done": name}).encode()))


async def ask(record, port, path, name, results):
    data, sent = b"", time.monotonic()
    deadline = DEADLINE[path]
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        method, body = ("POST", b"x") if path == "/book/" else ("GET", b"")
        headers = {"X-Deadline-Ms": deadline}
        writer.write(harness.request(f"{path}1", name, headers, method, body))
        while b"\r\n\r\n" not in data:
            left = sent + deadline / 1000 - time.monotonic()
            part = await asyncio.wait_for(reader.read(65536), max(0.0, left))
            if not part:
                break
            data += part
        writer.close()
    except (OSError, TimeoutError):
        pass
    status = data[9:12].decode() or "none"
    results.append((sent, port, status))
    record(f"answered {name} by {port}: {status} after {time.monotonic() - sent:.3f} s")


class Traffic:
    """Requests of the clients, and what became of them."""

    def __init__(self, record, instances):
        self.record, self.instances = record, instances
        self.results = {path: [] for path in WORK}
        self.tasks = []
        self.booked_at = {}  # when each instance was sent a call of /book/ last
        self.begun = time.monotonic()

    async def send(self, path, first):
        """Send requests of a route until the end, to the instances in turn."""
        for number in range(int((END - first) * RATE[path])):
            at = self.begun + first + number / RATE[path]
            await asyncio.sleep(max(0, at - time.monotonic()))
            port = self.instances[number % INSTANCES].callers
            name = f"{path.strip('/')}{number}"
            step = ask(self.record, port, path, name, self.results[path])
            self.tasks.append(asyncio.create_task(step))
            if path == "/book/":
                self.booked_at[port] = time.monotonic()

    async def freeze_each(self):
        """Freeze one instance after the other, with a call in progress."""
        await asyncio.sleep(FIRST_FREEZE)
        for instance in self.instances:
            before = self.booked_at[instance.callers]
            while self.booked_at[instance.callers] == before:
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.015)
            instance.process.send_signal(signal.SIGSTOP)
            self.record(f"{instance.name} is frozen for {FROZEN} s")
            await asyncio.sleep(FROZEN)
            instance.process.send_signal(signal.SIGCONT)
            self.record(f"{instance.name} goes on")
            await asyncio.sleep(BETWEEN - FROZEN)

    def count(self, *paths):
        """Return how many counted requests were served, and how many came."""
        chosen = [
            status
            for path in paths
            for at, _port, status in self.results[path]
            if COUNTED <= at - self.begun
        ]
        return sum(status == "200" for status in chosen), len(chosen)


async def add_route(record, store, routes, services):
    await asyncio.sleep(ADDED)
    more = harness.route("look", "safe", "ledger", **{"timeout-ms": 2000})
    new = harness.configuration(5, [*routes, more], services)
    store.write([("op", "config", new)])
    record("the route /look/ is added")


async def case(record, scratch, instances):
    store = Store()
    await store.start()
    for service in ("pages", "ledger"):
        for number in range(SERVERS):
            server = Server(name=f"{service}-{number}", service=service, slots=6)
            await server.start()
            store.write([("servers", server.name, server.entry())])
    routes = [
        harness.route("page", "safe", "pages", **{"timeout-ms": 2000}),
        harness.route("book", "unsafe", "ledger", **{"timeout-ms": 2000}),
    ]
    services = [{"name": name, "max-connections": 96} for name in ("pages", "ledger")]
    store.write([("op", "config", harness.configuration(3, routes, services))])
    for number in range(INSTANCES):
        instances.append(harness.Instance(f"front-{number}", store, scratch))
        instances[-1].start()
    for each in instances:
        await each.wait_ready()
    await asyncio.sleep(1.5)
    traffic = Traffic(record, instances)
    steps = [
        add_route(record, store, routes, services),
        traffic.send("/page/", 0.0),
        traffic.send("/book/", 0.0),
        traffic.send("/look/", COUNTED),
    ]
    if harness.TROUBLE:
        steps.append(traffic.freeze_each())
    await asyncio.gather(*steps)
    await asyncio.gather(*traffic.tasks)
    ready = [await each.is_ready() for each in instances]
    record(f"instances that say they are ready: {sum(ready)} of {INSTANCES}")
    for path in WORK:
        served, asked = traffic.count(path)
        record(f"{path} in steady state: {served} of {asked} served")
    old_served, old = traffic.count("/page/", "/book/")
    new_served, new = traffic.count("/look/")
    record(f"first routes: {old_served} of {old}; added route: {new_served} of {new}")
    return new >= LEAST and new_served / new < 0.25 * old_served / old


if __name__ == "__main__":
    harness.main(case, FOLDER)
