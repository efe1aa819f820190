"""Stand-ins of the review's scripts: store, engines, client and proxy.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import traceback
from urllib.parse import parse_qs, urlsplit

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
LOOPBACK = "127." + ".".join(str(random.randint(1, 250)) for _ in range(3))
# Below the ports that the system gives to outgoing connections.
PORTS = range(10000, 30000)
GIVEN_PORTS = set()
HEARTBEAT = 1.2  # seconds; `heartbeat-ms` of the settings
TX_SECONDS = 0.004  # time of an answer of the store, as on the sheet
RESET = struct.pack("ii", 1, 0)
HELD, BROKEN, NOT_RUN = 0, 1, 2
NAMES = ("held", "broken", "could not run")
LONGEST = 112  # seconds
# The settings of the sheet of mfcima-front that the deploy file uses.
BOUNDS = {
    "bounds.grace-s": "8",
    "bounds.retry-budget-ratio": "0.2",
    "bounds.retry-budget-slack": "52",
    "bounds.budget-window-s": "10",
    "limits.max-fds": "4100",
}
DRAIN = 2.0  # seconds; bounds.drain-ms
STABLE_WINDOW = 3.0  # seconds; bounds.stable-window-ms


def free_port():
    """Return a TCP port that is free now and is not given out again."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            if port not in GIVEN_PORTS:
                GIVEN_PORTS.add(port)
                return port


class Record:
    """Lines of record.txt, each with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, what, **details):
        """Write one line."""
        words = " ".join(f"{key}={value}" for key, value in details.items())
        self.file.write(f"{self.now():8.3f} {what} {words}".rstrip() + "\n")

    def close(self):
        """Write what is buffered."""
        self.file.close()


async def read_message(reader):
    """Return first line, headers in lower case and body, or None at EOF."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_answer(status, body=b"", headers=()):
    """Return an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Close a connection with RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Store:
    """The platform's table service, as far as one part of it is needed."""

    def __init__(self):
        self.port = 0
        self.rows = {}  # (table, key) -> (value in base64, version)
        self.log = []  # (version, table, key, value or None)
        self.ver = 0
        self.changed = None

    async def start(self):
        """Listen on a free port."""
        self.changed = asyncio.Condition()
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Write a row as another writer does; value None removes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        await self._apply([(table, key, text)])

    async def _apply(self, changes):
        self.ver += 1
        for table, key, text in changes:
            self.log.append((self.ver, table, key, text))
            if text is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (text, self.ver)
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                first, _headers, body = message
                method, target, _version = first.split(" ")
                url = urlsplit(target)
                query = {key: v[0] for key, v in parse_qs(url.query).items()}
                status, answer = await self._answer(url.path, query, body)
                answer |= {"ver": answer.get("ver", self.ver)}
                answer["now-ms"] = int(time.monotonic() * 1000)
                await asyncio.sleep(TX_SECONDS)
                kind = [("Content-Type", "application/json")]
                writer.write(encode_answer(status, json.dumps(answer).encode(), kind))
                await writer.drain()
        writer.close()

    async def _answer(self, path, query, body):
        if path == "/api/rows-tx":
            return await self._transact(json.loads(body))
        if path == "/api/rows-get":
            return 200, self._read(query)
        if path == "/api/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    async def _transact(self, call):
        for row in call.get("expect", ()):
            known = self.rows.get((row["table"], row["key"]), ("", 0))
            if known[1] != row["ver"]:
                rows = [self._row(*pair) for pair in [(row["table"], row["key"])]]
                return 412, {"rows": [each for each in rows if each]}
        puts = [(r["table"], r["key"], r["value"]) for r in call.get("put", ())]
        removes = [(r["table"], r["key"], None) for r in call.get("remove", ())]
        if puts or removes:
            await self._apply(puts + removes)
        return 200, {}

    def _row(self, table, key):
        if (table, key) not in self.rows:
            return None
        value, ver = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def _read(self, query):
        first = query.get("from", "")
        keys = sorted(k for t, k in self.rows if t == query["table"] and k >= first)
        keys = keys[: int(query.get("limit", 500))]
        rows = [self._row(query["table"], key) for key in keys]
        return {"rows": rows, "has-more": False, "ver": self.ver}

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [self._change(*c) for c in self.log if c[0] > after if c[1] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "ver": self.ver}
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    def _change(self, ver, table, key, value):
        row = {"table": table, "part": "", "key": key, "ver": ver}
        return row | ({"removed": True} if value is None else {"value": value})


class Proxy:
    """Relay of connections; those that are open can be made silent."""

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.open = set()
        self.silent = set()
        self.count = 0
        self.kept = []  # a connection that is not referred to would be closed

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._relay, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    def silence(self):
        """Drop all bytes of the connections that are open now, both ways."""
        self.silent |= self.open
        return len(self.open)

    async def _relay(self, reader, writer):
        self.count += 1
        number = self.count
        self.open.add(number)
        far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self.target)
        self.kept.append((asyncio.current_task(), writer, far_writer))
        ways = (self._pump(number, reader, far_writer),)
        ways += (self._pump(number, far_reader, writer),)
        await asyncio.gather(*ways)
        self.open.discard(number)

    async def _pump(self, number, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if number not in self.silent:
                    writer.write(data)
                    await writer.drain()
        if number not in self.silent:
            writer.close()


class Engine:
    """A model engine or an endpoint of a plain service.

    `on_request` may replace the answer: it is called with the engine, the
    headers, the body and the writer, and returns whether it has answered.
    """

    numbers = iter(range(1, 10**6))

    def __init__(self, world, service, *, stage="", version="v1", work=0.02):
        self.world = world
        self.service = service
        self.stage = stage
        self.version = version
        self.work = work
        self.events = 12
        self.event_gap = 0.03
        self.on_request = None
        self.port = free_port()
        self.writers = set()
        self.readers = {}  # by writer
        self.server = None
        self.order_count = 0
        self.state = "ready"
        self._renew()

    def _renew(self):
        self.id = f"i-{next(self.numbers):08x}"
        self.born = int(time.time() * 1000)

    def entry(self):
        """Return the entry of the registry."""
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "brum",
            "version": self.version,
            "slots": 128 if self.stage else 6,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.order_count,
            "born": self.born,
        }
        return entry | ({"stage": self.stage} if self.stage else {})

    async def start(self):
        """Listen, and register."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        await self.register()

    async def register(self):
        """Write the entry."""
        await self.world.store.put("servers", self.id, self.entry())

    async def unregister(self):
        """Remove the entry."""
        await self.world.store.put("servers", self.id, None)

    def stop(self):
        """End without a word: listener and connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            reset(writer)

    async def crash(self, down):
        """Crash; the entry lapses; a new incarnation comes after `down` s."""
        record, dead = self.world.record, self.id
        record.add("engine_crashed", engine=dead)
        self.stop()
        await asyncio.sleep(min(down, 3 * HEARTBEAT))
        await self.world.store.put("servers", dead, None)
        await asyncio.sleep(max(0.0, down - 3 * HEARTBEAT))
        self._renew()
        await self.start()
        record.add("engine_back", engine=self.id)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.readers[writer] = reader
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                await self._handle(*message, writer)
        self.writers.discard(writer)
        del self.readers[writer]
        writer.close()

    def is_gone(self, writer):
        """Return whether the other end has closed a connection."""
        reader = self.readers.get(writer)
        return reader is None or reader.at_eof() or writer.is_closing()

    async def _handle(self, first, headers, body, writer):
        _method, target, _version = first.split(" ")
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(encode_answer(421, headers=[("X-Instance-Id", self.id)]))
        elif target == "/api/kv-list":
            answer = {"epoch": 1, "next": 0, "held": []}
            writer.write(encode_answer(200, json.dumps(answer).encode()))
        elif target == "/api/order":
            await self._order(json.loads(body), writer)
        elif target.startswith("/api/"):
            writer.write(encode_answer(200, b"{}"))
        else:
            await self._run(target, headers, body, writer)
        await writer.drain()

    async def _order(self, order, writer):
        self.order_count += 1
        self.world.record.add("order", engine=self.id, stage=order.get("stage"))
        self.stage = order["stage"]
        writer.write(encode_answer(202))
        await self.register()

    async def _run(self, target, headers, body, writer):
        request = headers.get("x-request-id", "")
        is_prefill = headers.get("x-stage") == "prefill"
        kind = "prefill" if is_prefill else "run"
        arrival = {"request": request, "engine": self.id, "target": target}
        self.world.record.add(f"engine_{kind}", **arrival)
        self.world.arrivals.append((self.world.record.now(), kind, self, headers))
        if self.on_request and await self.on_request(self, headers, body, writer):
            return
        own = [("X-Request-Id", request)]
        if is_prefill:
            await asyncio.sleep(self.work)
            answer = {"handle": os.urandom(6).hex(), "tokens": 1, "version": 1}
            writer.write(encode_answer(200, json.dumps(answer).encode(), own))
        elif self.stage:
            await self.stream(headers, writer)
        else:
            await asyncio.sleep(self.work)
            stamp = [("X-Response-Stamp", f"{self.id}.{request}")]
            writer.write(encode_answer(200, b"done " + request.encode(), own + stamp))
            self.world.record.add("engine_ran", request=request, engine=self.id)

    def stream_head(self, headers):
        """Return the head of a stream in chunks."""
        request = headers.get("x-request-id", "")
        return (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request}\r\n"
            f"X-Response-Stamp: {self.id}.{request}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()

    def event(self, number):
        """Return one event."""
        return f"id: {number}\ndata: {self.version} {number}\n\n".encode()

    async def stream(self, headers, writer):
        """Send a whole stream, from the event after Last-Event-Id on."""
        await asyncio.sleep(self.work)
        writer.write(self.stream_head(headers))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            writer.write(chunk(self.event(number)))
            await writer.drain()
            await asyncio.sleep(self.event_gap)
        writer.write(b"0\r\n\r\n")


def chunk(data):
    """Return `data` as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class World:
    """Store, engines and instances of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.engines = []
        self.instances = []
        self.arrivals = []
        self.rng = random.Random()
        self.temporary = tempfile.TemporaryDirectory()

    async def add_engine(self, service, **options):
        """Start an engine and return it."""
        engine = Engine(self, service, **options)
        await engine.start()
        self.engines.append(engine)
        return engine

    def add_instance(self, number, store_port):
        """Start a program with the command of the deploy file."""
        instance = Instance(number, store_port, self.temporary.name)
        self.instances.append(instance)
        self.record.add("instance_started", instance=instance.name)
        return instance

    async def wait_ready(self, limit=20.0):
        """Wait until all instances say that they are ready."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            states = [await each.is_ready() for each in self.instances]
            if all(states):
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self):
        """End all processes."""
        for instance in self.instances:
            instance.kill()
        self.record.close()
        self.temporary.cleanup()


class Instance:
    """One process of the role `forward`."""

    def __init__(self, number, store_port, folder):
        self.name = f"front-brum-{number}"
        self.front, self.ready, self.peers, metrics = (free_port() for _ in range(4))
        settings = BOUNDS | {
            "node": self.name,
            "zone": "brum",
            "listen.front": f"{LOOPBACK}:{self.front}",
            "listen.ready": f"{LOOPBACK}:{self.ready}",
            "platform-config.address": f"{LOOPBACK}:{store_port}",
            "{{ip}}:{{internal-ports.0}}": f"{LOOPBACK}:{self.peers}",
            "{{ip}}:9464": f"{LOOPBACK}:{metrics}",
        }
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["forward"]
        self.command = shlex.split(role["run"])
        self.env = {
            name: settings.get(text) or fill(text, settings)
            for name, text in role["env"].items()
        }
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                self.env[name] = os.environ[name]
        self.env["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        self.env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "a")
        self.process = None
        self.start()

    def start(self):
        """Start the process."""
        self.process = subprocess.Popen(
            self.command,
            cwd=REPOSITORY,
            env=self.env,
            stdout=self.log,
            stderr=self.log,
            stdin=subprocess.DEVNULL,
        )

    def signal(self, number):
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        """Return whether its readiness page answers 200."""
        answer = await call(self.ready, "GET", "/api/ready", {}, limit=1.0)
        return answer["status"] == 200


def fill(text, settings):
    """Return a text of the deploy file with its placeholders filled in."""
    return re.sub(r"\{\{([^}]+)\}\}", lambda found: settings[found[1]], text)


async def call(port, method, path, headers, body=b"", limit=8.0):
    """Send a request on a new connection and return what came back.

    Returns
    -------
    dict
        `status` (0 without a head), `headers`, `body`, `is_complete`.
    """
    result = {"status": 0, "headers": {}, "body": b"", "is_complete": False}
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(limit):
            await _call(port, method, path, headers, body, result)
    return result


async def _call(port, method, path, headers, body, result):
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}"] if body or method != "GET" else []
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in rest)
        result["headers"] = {name.lower(): value.strip() for name, _, value in pairs}
        result["status"] = int(first.split(" ")[1])
        if result["headers"].get("transfer-encoding") == "chunked":
            await _read_chunks(reader, result)
        else:
            length = int(result["headers"].get("content-length", 0))
            result["body"] = await reader.readexactly(length)
        result["is_complete"] = True
    finally:
        writer.close()


async def _read_chunks(reader, result):
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        result["body"] += data[:-2]


def event_ids(body):
    """Return the ids of the events in a stream."""
    return [int(number) for number in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


def route(name, prefix, kind, service, **options):
    """Return a route of the configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 6000,
        "target-latency-ms": 250,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
        "sticky": kind == "streaming",
        "resumable": False,
        "gap-aim-ms": 250 if kind == "streaming" else 0,
    }
    return fields | {key.replace("_", "-"): value for key, value in options.items()}


def configuration(version, routes):
    """Return a configuration with one model service and one plain one."""
    engine = {"slots": 128, "kv-capacity-tokens": 1072199, "kv-token-bytes": 18432}
    engine |= {"handle-ttl-s": 5.0, "switch-s": 3.0, "models": [{"name": "m"}]}
    model = {"name": "assist", "health-path": "/health", "max-connections": 610}
    plain = {"name": "ledger", "health-path": "/health", "max-connections": 96}
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304}
    limits |= {"header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    services = [model | {"engine": engine}, plain]
    services += [plain | {"name": "ledger-b"}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def run(main, folder):
    """Run a case and exit with its result."""
    world = World(folder)

    async def play():
        try:
            result = await asyncio.wait_for(main(world), LONGEST)
        except TimeoutError:
            result = NOT_RUN
        world.record.add("end", result=NAMES[result])
        return result

    result = NOT_RUN
    try:
        # The loop is not closed: open connections end with the process.
        result = asyncio.new_event_loop().run_until_complete(play())
    except Exception:
        # The exit below would hide it.
        traceback.print_exc()
    finally:
        world.end()
        print(NAMES[result], flush=True)
        os._exit(result)
