"""Real processes of the program before one store and some endpoints."""

import asyncio
import base64
import contextlib
import functools
import itertools
import os
import random
import re
import subprocess
import sys
import time

import msgspec

from wagtailfront.platform.paths import READY_PATH
from wagtailfront.platform.tests.builders import make_registration
from wagtailfront.platform.tests.silent_store import HOST, SilentStore, read_request
from wagtailfront.platform.tests.wire import (
    caller_headers,
    event_stream_headers,
    header_lines,
    resumed_event,
    signed_response,
)
from wagtailfront.programs.tests.forward_site import free_port
from wagtailfront.programs.tests.loopback_proxy import LoopbackProxy
from wagtailfront.programs.tests.rule_checker import ONCE_PREFIX, RuleChecker

__all__ = ["ProcessFleet"]

READY_SECONDS = 60.0
WORK_SECONDS = 0.005
EVENTS, EVENT_GAP = 12, 0.03
REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)")
HEALTH_PATH = "/health"
LIMIT_SECONDS = 6.0  # of a caller's attempt


class _Endpoint:
    """Endpoint that answers at once, or streams events with its version."""

    def __init__(self, *, name, version, checker):
        self.name = name
        self.version = version
        self.checker = checker
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                _method, target, head, _body = request
                if target == HEALTH_PATH:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                request_id = REQUEST_ID.search(head)[1]
                self.checker.record_arrival(request_id.decode(), self.name)
                await asyncio.sleep(WORK_SECONDS)
                if target.startswith("/stream/"):
                    await self._stream(head, request_id, writer)
                else:
                    writer.write(signed_response(request_id, b"ok"))
                await writer.drain()
        writer.close()

    async def _stream(self, head, request_id, writer):
        lines = header_lines(event_stream_headers(request_id))
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + lines + b"\r\n"
        )
        for number in range(resumed_event(head) + 1, EVENTS + 1):
            event = b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP)
        writer.write(b"0\r\n\r\n")


def _translate_row(links, table, row):
    """Return a row of the registry with the address of an endpoint's link."""
    if table != "servers" or row["key"] not in links or "value" not in row:
        return row
    value = msgspec.json.decode(base64.b64decode(row["value"]))
    value["address"] = f"{HOST}:{links[row['key']].port}"
    return {**row, "value": base64.b64encode(msgspec.json.encode(value)).decode()}


def _route_kind(prefix):
    if prefix.startswith(ONCE_PREFIX):
        return "unsafe"
    return "streaming" if "stream" in prefix else "safe"


def _has_ended(child):
    """Return whether a process has ended."""
    return child.poll() is not None


class ProcessFleet:
    """Instances as processes; use it within `async with`.

    Parameters
    ----------
    size : int
    seed : int
        Of the choices that callers make.
    log_folder : pathlib.Path, optional
        Where the decision log of each instance is kept.
    store_links : dict of int to float, optional
        Bytes per second on the links of some instances to the store, which
        are in the attribute of that name as LoopbackProxy.
    cut_off : collection of int, optional
        Instances whose links to endpoints are in the attribute
        `endpoint_links`, by instance and name, as LoopbackProxy.
    limit : float, optional
        Seconds that a caller waits for an attempt.
    route : dict, optional
        Fields of all routes that differ from the usual ones.
    """

    def __init__(
        self,
        *,
        size,
        seed,
        log_folder=None,
        store_links=None,
        cut_off=(),
        limit=LIMIT_SECONDS,
        route=None,
    ):
        self.size = size
        self.endpoint_links = {number: {} for number in cut_off}
        self.view_ports = {}
        self.limit = limit
        self.route = route or {}
        self.store_rates = store_links or {}
        self.store_links = {}
        self.log_folder = log_folder
        self.rng = random.Random(seed)
        self.checker = RuleChecker()
        self.store = SilentStore()
        self.endpoints = {}
        self.children = []
        self.callers = []  # ports of the instances
        self.status_ports = []
        self.numbers = itertools.count()

    async def __aenter__(self):
        await self.store.start()
        for number, rate in self.store_rates.items():
            link = LoopbackProxy(target=self.store.port, bytes_per_second=rate)
            await link.start()
            self.store_links[number] = link
        for number, links in self.endpoint_links.items():
            translate = functools.partial(_translate_row, links)
            self.view_ports[number] = await self.store.start_view(translate)
        await self.prepare()
        for number in range(self.size):
            self._start_instance(number)
        try:
            await self._wait_until_ready()
        except TimeoutError:
            await self.__aexit__()
            raise
        return self

    async def prepare(self):
        """Write the rows that the instances read when they start."""
        await self.configure(1, "/a/", "/stream/")
        for number in range(4):
            await self.add_endpoint(f"e{number}", "v1")

    async def __aexit__(self, *failure):
        for child in self.children:
            child.kill()
        for child in self.children:
            child.wait()
        links = (self.store_links, *self.endpoint_links.values())
        for link in itertools.chain.from_iterable(map(dict.values, links)):
            await link.close()
        # Lets the ends of their connections arrive.
        await asyncio.sleep(0.2)

    def _start_instance(self, number):
        names = ("callers", "status", "peers", "proxy", "metrics")
        ports = {name: free_port() for name in names}
        environ = {
            f"WAGTAILFRONT_{name.upper()}": f"{HOST}:{port}"
            for name, port in ports.items()
        }
        environ |= {
            "WAGTAILFRONT_INSTANCE": f"i{number}",
            "WAGTAILFRONT_DATA_CENTRE": "a",
            "WAGTAILFRONT_STORE": f"{HOST}:{self._store_port(number)}",
        }
        self.callers.append(ports["callers"])
        self.status_ports.append(ports["status"])
        with self._open_log(number) as log:
            self.children.append(
                subprocess.Popen(
                    [sys.executable, "-m", "wagtailfront.programs.forward"],
                    env=os.environ | environ,
                    stdout=log,
                )
            )

    def _store_port(self, number):
        if number in self.view_ports:
            return self.view_ports[number]
        return self.store_links.get(number, self.store).port

    def _open_log(self, number):
        if self.log_folder is None:
            return open(os.devnull, "wb")
        return open(self.log_folder / f"i{number}.jsonl", "wb")

    async def _wait_until_ready(self):
        limit = time.monotonic() + READY_SECONDS
        for port in self.status_ports:
            while b" 200 " not in await self._ask_status(port):
                if time.monotonic() > limit or any(map(_has_ended, self.children)):
                    raise TimeoutError("an instance has ended or is not ready")
                await asyncio.sleep(0.1)

    async def _ask_status(self, port):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, port)
                path = READY_PATH.encode()
                writer.write(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
                answer = await reader.readline()
                writer.close()
                return answer
        return b""

    # The store

    async def configure(self, version, *prefixes):
        """Write a configuration with a route for each prefix."""
        routes = [
            {
                "name": prefix.strip("/"),
                "host": "h",
                "prefix": prefix,
                "kind": _route_kind(prefix),
                "resumable": "stream" in prefix,
                "service": "s",
                "timeout-ms": 6000,
                "target-latency-ms": 2000,
                "max-attempts": 1,
                **self.route,
            }
            for prefix in prefixes
        ]
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": "s", "max-connections": 2000}],
            "limits": {},
        }
        await self.store.write("op", "config", config)
        for prefix in prefixes:
            self.checker.routes.setdefault(prefix, time.monotonic())

    async def add_endpoint(self, name, version):
        """Start an endpoint and register it."""
        endpoint = _Endpoint(name=name, version=version, checker=self.checker)
        await endpoint.start()
        self.endpoints[name] = endpoint
        for links in self.endpoint_links.values():
            links[name] = LoopbackProxy(target=endpoint.port)
            await links[name].start()
        await self.register(name, "ready")

    async def register(self, name, state):
        """Write an endpoint's registration."""
        endpoint = self.endpoints[name]
        registration = make_registration(
            address=f"{HOST}:{endpoint.port}",
            version=endpoint.version,
            slots=64,
            stage="",
            state=state,
        )
        await self.store.write("servers", name, registration)

    async def remove(self, name, *, says_so):
        """Let an endpoint leave; it goes on serving."""
        if says_so:
            await self.register(name, "draining")
        else:
            await self.store.write("servers", name, None)
        self.checker.record_departure(name, at=time.monotonic())

    def silence(self):
        """Make all connections to the store silent."""
        self.checker.record_disruption(at=time.monotonic())
        return self.store.silence()

    # Callers

    async def call(self, instance, path, *, after=None, resumes=None, events=None):
        """Send an attempt to an instance; return its id, status and body.

        Parameters
        ----------
        instance : int
        path : str
        after, resumes
            As of `caller_headers`.
        events : int, optional
            Close the connection after so many events.
        """
        request = f"r{next(self.numbers):07}"
        headers = caller_headers(
            request.encode(), seconds=self.limit, after=after, resumes=resumes
        )
        self.checker.record_request(request, f"i{instance}", path, at=time.monotonic())
        data = b""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.limit):
                port = self.callers[instance]
                reader, writer = await asyncio.open_connection(HOST, port)
                lines = b"GET %b HTTP/1.1\r\n" % path.encode() + header_lines(headers)
                writer.write(lines + b"Connection: close\r\n\r\n")
                while part := await reader.read(65536):
                    data += part
                    if events and len(EVENT.findall(data)) >= events:
                        break
                writer.close()
        status = int(data.split(b" ")[1]) if data else 0
        self.checker.record_status(request, status)
        self.checker.record_answer(request, data)
        return request, status, data

    async def call_each(self, path, *, seconds):
        """Send a request to each instance, spread over some seconds."""
        calls = []
        for instance in range(self.size):
            calls.append(asyncio.ensure_future(self.call(instance, path)))
            await asyncio.sleep(seconds / self.size)
        await asyncio.gather(*calls)

    async def take_up(self, begin_at, resume_at):
        """Begin a stream at an instance, and take it up at another one."""
        begun, status, data = await self.call(
            begin_at, f"/stream/{next(self.numbers)}", events=3
        )
        found = EVENT.findall(data)
        for _attempt in range(4 if found else 0):
            request, status, more = await self.call(
                resume_at,
                f"/stream/{next(self.numbers)}",
                after=int(found[-1][0]),
                resumes=begun.encode(),
            )
            for _number, version in EVENT.findall(more):
                self.checker.record_event(begun, version.decode(), request)
            if status != 503:
                break
            await asyncio.sleep(0.25)
        for _number, version in found:
            self.checker.record_event(begun, version.decode(), begun)
