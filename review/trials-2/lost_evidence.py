"""A request that crashes servers, after all instances have been killed."""

import asyncio
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-2"))

import harness  # noqa: E402
from standins import Engine, Store, encode  # noqa: E402

CYCLES, TOLERATED, STABLE_WINDOW = 5, 3, 3.0
BACK_AFTER = 2.0  # seconds


class Server(Engine):
    """Crashes when it begins to run the bad request."""

    store = None
    crashes = []

    async def run(self, writer, line, headers, body):
        name = headers["x-request-id"]
        if body == b"bad":
            self.crashes.append(time.monotonic())
            self.crash()
            asyncio.create_task(self.come_back())
            return
        await asyncio.sleep(0.02)
        answer = {"X-Request-Id": name, "X-Response-Stamp": "stamp"}
        writer.write(encode(200, answer, b"done"))

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER)
        await start(self.store, self.name, self.port)


async def start(store, name, port=0):
    server = Server(name=name, service="ledger", slots=6)
    server.store = store
    await server.start(port)
    store.write([("servers", name, server.entry())])


async def ask(port, name, body):
    headers = {"X-Deadline-Ms": "2000", "Authorization": "Basic caller"}
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(harness.request("/book/1", name, headers, body=body))
        data = await asyncio.wait_for(reader.read(300), 3)
        writer.close()
    except (OSError, TimeoutError):
        return "none"
    return data[9:12].decode()


async def case(record, scratch, instances):
    store = Store()
    await store.start()
    for number in range(6):
        await start(store, f"e{number}")
    routes = [harness.route("book", "safe", "ledger")]
    services = [{"name": "ledger", "max-connections": 600}]
    store.write([("op", "config", harness.configuration(3, routes, services))])
    for number in range(3):
        instances.append(harness.Instance(f"front-{number}", store, scratch))
    for cycle in range(CYCLES):
        for each in instances:
            each.start()
        for each in instances:
            await each.wait_ready()
        await asyncio.sleep(STABLE_WINDOW + 1.0)
        before = len(Server.crashes)
        answers = []
        for number in range(4):
            port = instances[number % 3].callers
            answers.append(await ask(port, f"bad{cycle}.{number}", b"bad"))
            await asyncio.sleep(0.7)
        print(cycle, answers, "crashes:", len(Server.crashes) - before, flush=True)
        for each in instances:
            each.kill()
    since = Server.crashes[2] + STABLE_WINDOW
    late = sum(at > since for at in Server.crashes)
    print("later than the bound:", late, flush=True)
    return late > TOLERATED


if __name__ == "__main__":
    harness.main(case, tempfile.mkdtemp())
