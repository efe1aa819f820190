"""Connections to the store go silent, then an engine leaves."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import harness  # noqa: E402

INSTANCES = 6
INTERVAL = 0.01  # seconds between two requests
REMOVED_AFTER = 0.5  # seconds from the silence to the end of the entry
# Seconds for which the engine serves on: `drain-ms` and a little longer.
SERVES_FOR = 3.2


class Case:
    """Six instances before the four endpoints of a plain service."""

    def __init__(self, world):
        self.world = world
        self.record = world.record
        self.sent = {}
        self.outcomes = {}
        self.is_over = False
        self.tasks = set()

    def start(self, work):
        """Start a task and keep it."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, request, instance):
        """Send one booking, which must not run twice."""
        headers = {"X-Request-Id": request, "X-Deadline-Ms": "1000"}
        self.sent[request] = (self.record.now(), instance.name)
        self.record.add("sent", request=request, instance=instance.name)
        body = b"x" * 600
        answer = await harness.call(instance.front, "POST", "/book/2f", headers, body)
        self.outcomes[request] = answer["status"]
        self.record.add("answered", request=request, status=answer["status"])

    async def send_all(self):
        """Send bookings to all instances in turn."""
        number = 0
        while not self.is_over:
            instance = self.world.instances[number % INSTANCES]
            self.start(self.send(f"b{number:06d}", instance))
            number += 1
            await asyncio.sleep(INTERVAL)

    async def play(self):
        """Play the case and return its result."""
        world = self.world
        await world.store.start()
        book = harness.route(
            "book",
            "/book/",
            "unsafe",
            "ledger",
            timeout_ms=1000,
            target_latency_ms=100,
        )
        await world.store.put("op", "config", harness.configuration(1, [book]))
        for _ in range(4):
            await world.add_engine("ledger", work=0.05)
        proxies = [harness.Proxy(world.store.port) for _ in range(INSTANCES)]
        for number, proxy in enumerate(proxies):
            await proxy.start()
            world.add_instance(number + 1, proxy.port)
        if not await world.wait_ready():
            return harness.NOT_RUN
        # All instances have run for long; the phases of their calls differ.
        await asyncio.sleep(24 + world.rng.random() * 1.5)
        self.start(self.send_all())
        await asyncio.sleep(3)
        silent_at = self.record.now()
        if harness.TROUBLE:
            count = sum(proxy.silence() for proxy in proxies)
            self.record.add("store_connections_silent", count=count)
        await asyncio.sleep(REMOVED_AFTER)
        leaving = world.engines[0]
        await leaving.unregister()
        removed_at = self.record.now()
        self.record.add("entry_removed", engine=leaving.id)
        await asyncio.sleep(SERVES_FOR)
        leaving.stop()
        self.record.add("engine_exits", engine=leaving.id)
        await asyncio.sleep(2)
        self.is_over = True
        await asyncio.sleep(2)
        return self.judge(leaving, silent_at, removed_at)

    def judge(self, leaving, silent_at, removed_at):
        """Count the requests that machines in touch sent too late."""
        in_touch = silent_at + harness.STABLE_WINDOW if harness.TROUBLE else 0.0
        since = max(removed_at + harness.DRAIN, in_touch)
        late = [
            headers["x-request-id"]
            for at, kind, engine, headers in self.world.arrivals
            if engine is leaving and self.sent[headers["x-request-id"]][0] > since
        ]
        machines = {self.sent[request][1] for request in late}
        lost = [each for each in late if self.outcomes.get(each) != 200]
        for request in late:
            at, name = self.sent[request]
            after = round(at - removed_at, 3)
            self.record.add("late", request=request, instance=name, after=after)
        self.record.add(
            "result", late=len(late), machines=len(machines), late_and_lost=len(lost)
        )
        if sum(status == 200 for status in self.outcomes.values()) < 100:
            return harness.NOT_RUN
        return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    harness.run(lambda world: Case(world).play(), HERE)
