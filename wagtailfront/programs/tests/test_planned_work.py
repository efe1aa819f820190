"""Seeded test of a real process around changes of the configuration."""

import random
import signal
import socket
import struct
import threading
import time

import pytest

from wagtailfront.platform.tests.wire import signed_response
from wagtailfront.programs.tests.forward_site import SERVICES, ForwardSite, read_answer
from wagtailfront.programs.tests.known_limits import LIMIT_SHARE, KnownLimits

SECONDS = 3.0
CALLERS = 12
SILENCE = 1.2  # seconds for which a sound endpoint sends nothing
CHANGE_INTERVAL, SIGNAL_INTERVAL = 0.5, 0.05  # seconds
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n"
NARROW = {"idle-timeout-ms": 200, "header-timeout-ms": 200, "max-body-bytes": 2000}
WIDE = {"idle-timeout-ms": 3000, "header-timeout-ms": 2000, "max-body-bytes": 200_000}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 seconds


class Endpoint:
    """Sound endpoint that is silent at times and resets idle connections."""

    def __init__(self, rng):
        self.rng = rng
        self.silent_until = 0.0

    def __call__(self, connection, request_id, request):
        now = time.monotonic()
        if self.rng.random() < 0.01:
            self.silent_until = now + SILENCE
        time.sleep(max(0.0, self.silent_until - now) + 0.05 * self.rng.random())
        connection.sendall(signed_response(request_id, b"/" + request_id))
        is_kept = self.rng.random() < 0.7
        if not is_kept:
            time.sleep(0.02 * self.rng.random())
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return is_kept


def send_slowly(connection, request_id, rng, known):
    """Send a request in parts, with a length or in chunks."""
    longest = int(LIMIT_SHARE * known.widest("max-body-bytes"))
    body = b"x" * rng.choice([0, 10, longest])
    if rng.random() < 0.5:
        message = b"Content-Length: %d\r\n\r\n" % len(body) + body
    else:
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        message = b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    message = HEAD % request_id + message
    cut = rng.randrange(len(message))
    pause = LIMIT_SHARE * known.widest("header-timeout-ms") / 1000
    connection.sendall(message[:cut])
    time.sleep(pause * rng.choice([0.0, 0.0, 0.1, 1.0]))
    connection.sendall(message[cut:])


class Caller(threading.Thread):
    """Sends requests on kept connections; records those without an answer."""

    def __init__(self, site, known, name, seed, until):
        super().__init__(daemon=True)
        self.site, self.known, self.label, self.until = site, known, name, until
        self.rng = random.Random(seed)
        self.statuses, self.lost = [], []

    def run(self):
        number, connection = 0, None
        while time.monotonic() < self.until:
            number += 1
            request_id = b"%b-%d." % (self.label, number)
            connection = connection or self.site.connect()
            try:
                send_slowly(connection, request_id, self.rng, self.known)
                status, body = read_answer(connection)
            except OSError as error:
                status, body = b"", repr(error).encode()
            if not status:
                self.lost.append((request_id, body))
            self.statuses.append(status)
            if not status.startswith(b"HTTP/1.1 200"):
                connection.close()
                connection = None
            idle = LIMIT_SHARE * self.known.widest("idle-timeout-ms") / 1000
            time.sleep(idle * self.rng.choice([0.0, 0.0, 0.1, 1.0]))


def change_and_signal(site, child, known, rng, until):
    """Change the configuration and send SIGHUP until a time."""
    change_at = 0.0
    while time.monotonic() < until:
        if time.monotonic() >= change_at:
            change_at = time.monotonic() + CHANGE_INTERVAL
            limits = rng.choice([NARROW, WIDE])
            known.add(limits)
            site.change(
                limits=limits,
                **{
                    "service": rng.choice(SERVICES),
                    "kind": rng.choice(["safe", "unsafe"]),
                    "timeout-ms": rng.choice([3000, 5000]),
                    "max-attempts": rng.choice([1, 3]),
                },
            )
        child.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL)


@pytest.mark.parametrize("seed", [1, 2])
def test_each_request_is_answered_beside_changes_and_reloads(process, seed):
    """Guards requests against a connection that ends without an answer."""
    rng = random.Random(seed)
    site = ForwardSite([Endpoint(random.Random(rng.random())) for _ in range(4)])
    site.change(limits=WIDE)
    known = KnownLimits()
    known.add(WIDE)
    child = process(site)
    until = time.monotonic() + SECONDS
    callers = [
        Caller(site, known, b"c%d" % number, rng.random(), until)
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    change_and_signal(site, child, known, rng, until)
    for caller in callers:
        caller.join(10.0)
    assert child.poll() is None
    assert [lost for caller in callers for lost in caller.lost] == []
    statuses = [status for caller in callers for status in caller.statuses]
    assert len(statuses) > 4 * CALLERS
    assert statuses.count(b"HTTP/1.1 200 OK") > 0.8 * len(statuses)
    site.close()
