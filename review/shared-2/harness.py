"""Starts forwarding instances as the deploy file does, and plays clients."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import CRLF, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BLOCK = 20  # ports of one instance
taken_blocks = set()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


def free_block():
    """Return the first of BLOCK ports that are free.

    An instance also takes the first free one after that of its peers.
    """
    for _ in range(200):
        first = random.randrange(20_000, 30_000, BLOCK)
        if first not in taken_blocks and all(map(is_free, range(first, first + BLOCK))):
            taken_blocks.add(first)
            return first
    raise CannotRun("no ports are free")


def is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


class Instance:
    """One process of the role `forward`."""

    def __init__(self, name, store, folder, *, settings=""):
        self.name, self.folder = name, folder
        first = free_block()
        self.callers, self.status, self.metrics = first, first + 1, first + 2
        self.peers = first + 3
        self.store, self.settings = store, settings
        self.process = None

    def start(self):
        path = pathlib.Path(self.folder) / f"{self.name}.conf"
        path.write_text(
            "bounds.config-apply-ms=2000\nbounds.lease-ms=3000\n"
            f"limits.memory-mb=300\nzones.a=r\n{self.settings}"
        )
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WAGTAILFRONT_SETTINGS": str(path),
            "WAGTAILFRONT_INSTANCE": self.name,
            "WAGTAILFRONT_DATA_CENTRE": "a",
            "WAGTAILFRONT_CALLERS": f"127.0.0.1:{self.callers}",
            "WAGTAILFRONT_STATUS": f"127.0.0.1:{self.status}",
            "WAGTAILFRONT_STORE": f"127.0.0.1:{self.store.port}",
            "WAGTAILFRONT_PEERS": f"127.0.0.1:{self.peers}",
            "WAGTAILFRONT_METRICS": f"127.0.0.1:{self.metrics}",
            "WAGTAILFRONT_DRAIN_TIMEOUT": "8",
            "WAGTAILFRONT_PREFILL_SHARE": "0.5",
            "WAGTAILFRONT_REPEAT_SHARE": "0.2",
            "WAGTAILFRONT_REPEAT_SLACK": "52",
            "WAGTAILFRONT_REPEAT_WINDOW": "10",
            "WAGTAILFRONT_MAX_DESCRIPTORS": "4100",
        }
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "a")
        self.process = subprocess.Popen(
            ["python3", "-m", "wagtailfront.programs.forward"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )

    async def is_ready(self):
        """Return whether the readiness page answers 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.status)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return b" 200 " in line

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def route(name, kind, service, **more):
    """Return a route of the host `h.example` with the prefix /NAME/."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 8000,
        "target-latency-ms": 400,
        "priority": 1,
        "max-attempts": 2,
        **more,
    }


def configuration(version, routes, services, **more):
    """Return the operator's row as bytes."""
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    config = {"version": version, "routes": routes, "services": services}
    return json.dumps({**config, "limits": limits, **more}).encode()


MODEL = {
    "slots": 16,
    "kv-capacity-tokens": 1000000,
    "kv-token-bytes": 18432,
    "link-mbps": 550000,
    "handle-ttl-s": 3,
}


def request(path, name, headers=(), method="POST", body=b"x"):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {name}",
        *(f"{key}: {value}" for key, value in dict(headers).items()),
        f"Content-Length: {len(body)}",
    ]
    return (CRLF.join(lines) + CRLF * 2).encode() + body


def main(case, folder):
    """Run `case(record, folder, instances)`; exit with 0, 1 or 2."""
    record = Record(folder)
    instances = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # after its time limit
    with tempfile.TemporaryDirectory() as scratch:
        try:
            is_broken = asyncio.run(case(record, scratch, instances))
        except (Exception, SystemExit) as error:
            record(f"could not run: {error!r}")
            for path in pathlib.Path(scratch).glob("*.log"):
                record(path.read_text()[-2000:])
            sys.exit(2)
        finally:
            for each in instances:
                each.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(scratch).glob("*.log"):
                    (pathlib.Path(keep) / path.name).write_text(path.read_text())
    record("the rule was broken" if is_broken else "the rule held")
    print("the rule was broken" if is_broken else "the rule held", flush=True)
    # Not sys.exit: connections of the stand-ins may still be open.
    os._exit(1 if is_broken else 0)


__all__ = [
    "MODEL",
    "TROUBLE",
    "CannotRun",
    "Instance",
    "Record",
    "Store",
    "configuration",
    "main",
    "request",
    "route",
]
