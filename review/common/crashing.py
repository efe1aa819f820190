"""Requests that crash each engine that answers them, beside sound ones."""

import asyncio

import harness

SHARED = "a0000001:350"  # first part of all prompts
WHOLE = list(range(1, 13))  # ids of the events of a whole stream


class CrashCase:
    """Six engines, three instances, sound requests and some that crash.

    Parameters
    ----------
    world : World
    whole_events : int
        Events that an engine writes whole before it crashes in the next one.
    crashing_prompt : callable
        Returns the parts of the prompt of a crashing request by its number.
    crashing_body : callable
        Returns the body of a crashing request by its number.
    counted_crash : int
        Crash from which the rule counts.
    allowed : int
        Requests that may reach engines later than the window after it.
    """

    DOWN = 4.0  # seconds until an engine that crashed is back
    INTERVAL = 3.0  # seconds between two crashing client attempts
    ATTEMPTS = 13
    SOUND_INTERVAL = 0.1

    def __init__(
        self,
        world,
        *,
        whole_events,
        crashing_prompt,
        crashing_body,
        counted_crash,
        allowed,
    ):
        self.world = world
        self.record = world.record
        self.whole_events = whole_events
        self.crashing_prompt = crashing_prompt
        self.crashing_body = crashing_body
        self.counted_crash = counted_crash
        self.allowed = allowed
        self.crashes = []
        self.outcomes = []
        self.tasks = set()

    async def on_request(self, engine, headers, body, writer):
        """Crash in the middle of an event of a crashing request."""
        is_crashing = headers["x-request-id"].startswith("p")
        is_run = headers.get("x-stage") != "prefill"
        if not harness.TROUBLE or not is_crashing or not is_run:
            return False
        await asyncio.sleep(engine.work)
        writer.write(engine.stream_head(headers))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, first + self.whole_events):
            writer.write(harness.chunk(engine.event(number)))
            await writer.drain()
            await asyncio.sleep(engine.event_gap)
        event = harness.chunk(engine.event(first + self.whole_events))
        writer.write(event[: len(event) // 2])
        await writer.drain()
        await asyncio.sleep(0.01)
        self.crashes.append(self.record.now())
        self.start(engine.crash(self.DOWN))
        return True

    def start(self, work):
        """Start a task and keep it."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, request, body, parts):
        """Send one client attempt to any instance."""
        instance = self.world.rng.choice(self.world.instances)
        headers = {
            "X-Request-Id": request,
            "X-Model": "m",
            "X-Token-Count": "1460,80",
            "X-Prompt-Prefix": parts,
            "X-Deadline-Ms": "6000",
        }
        self.record.add("sent", request=request, instance=instance.name)
        answer = await harness.call(instance.front, "POST", "/label/2f", headers, body)
        status = answer["status"]
        is_whole = answer["is_complete"] and harness.event_ids(answer["body"]) == WHOLE
        self.record.add("answered", request=request, status=status, is_whole=is_whole)
        self.outcomes.append((request[0], status, is_whole))

    async def send_sound(self):
        """Send sound requests that share the first part of the prompt."""
        for number in range(int(self.ATTEMPTS * self.INTERVAL / self.SOUND_INTERVAL)):
            parts = f"{SHARED},{number + 1:08x}:1110"
            self.start(self.send(f"s{number:06d}", b"sound", parts))
            await asyncio.sleep(self.SOUND_INTERVAL)

    async def play(self):
        """Play the case and return its result."""
        world = self.world
        await world.store.start()
        label = harness.route(
            "label", "/label/", "streaming", "assist", max_attempts=2, resumable=True
        )
        await world.store.put("op", "config", harness.configuration(1, [label]))
        for number in range(6):
            stage = "prefill" if number < 3 else "decode"
            engine = await world.add_engine("assist", stage=stage)
            engine.on_request = self.on_request
        for number in range(3):
            world.add_instance(number + 1, world.store.port)
        if not await world.wait_ready():
            return harness.NOT_RUN
        await asyncio.sleep(3)
        self.start(self.send_sound())
        await asyncio.sleep(2)
        for number in range(self.ATTEMPTS):
            body, parts = self.crashing_body(number), self.crashing_prompt(number)
            self.start(self.send(f"p{number:06d}", body, parts))
            await asyncio.sleep(self.INTERVAL)
        await asyncio.sleep(7)
        return self.judge()

    def judge(self):
        """Count the crashing requests that came later than allowed."""
        sound = [(s, w) for kind, s, w in self.outcomes if kind == "s"]
        whole = sum(is_whole for _status, is_whole in sound)
        cut = sum(status == 200 and not is_whole for status, is_whole in sound)
        late = []
        if len(self.crashes) >= self.counted_crash:
            since = self.crashes[self.counted_crash - 1] + harness.STABLE_WINDOW
            late = [
                at
                for at, kind, _engine, headers in self.world.arrivals
                if kind == "run" and headers["x-request-id"][0] == "p" and at > since
            ]
        self.record.add(
            "result",
            crashes=len(self.crashes),
            late=len(late),
            allowed=self.allowed,
            sound_streams_whole=whole,
            sound_streams_cut=cut,
        )
        if not whole:
            return harness.NOT_RUN
        return harness.BROKEN if len(late) > self.allowed else harness.HELD
