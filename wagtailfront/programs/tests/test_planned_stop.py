"""Seeded test of a real process that is stopped while callers go on."""

import random
import signal
import threading
import time

import pytest

from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.platform.tests.wire import signed_response
from wagtailfront.programs.tests.forward_site import ForwardSite, read_answer

CALLERS = 24
ANSWERED = 50  # requests, before SIGTERM
GRACE = 8.0  # seconds, as by default
# Requests sent later than this after SIGTERM must not be cut.
EXCUSED_SECONDS = 3.0
HEAD = (
    b"POST /%b HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\nX-Deadline-Ms: %d\r\n"
    b"Content-Length: 2\r\n\r\nhi"
)


class Endpoint:
    """Works on each request for a while; records those that it began."""

    def __init__(self, rng):
        self.rng = rng
        self.began = set()

    def __call__(self, connection, request_id, request):
        self.began.add(request_id)
        time.sleep(self.rng.choice([0.0, 0.05, 0.3, 1.5, 4.0]))
        connection.sendall(signed_response(request_id, b"/" + request_id))
        return True


class Caller(threading.Thread):
    """Sends requests on one connection until the process has gone."""

    def __init__(self, site, label, seed):
        super().__init__(daemon=True)
        self.site, self.label, self.rng = site, label, random.Random(seed)
        self.answers = []  # time sent, id, status line

    def run(self):
        connection = None
        for number in range(10_000):
            request_id = b"%b-%d." % (self.label, number)
            limit = self.rng.choice([200, 900, 2500, 6000])
            try:
                connection = connection or self.site.connect()
                connection.sendall(HEAD % (request_id, request_id, limit))
            except OSError:
                # Nobody has read a request that was not sent.
                return
            sent = time.monotonic()
            try:
                status, _body = read_answer(connection)
            except OSError:
                status = b""
            self.answers.append((sent, request_id, status))
            if not status.startswith(b"HTTP/1.1 200"):
                connection.close()
                connection = None
                time.sleep(0.05)


@pytest.mark.parametrize("seed", [1, 2])
def test_each_request_that_is_passed_on_during_a_stop_is_answered(process, seed):
    """Guards unsafe requests against a cut at the end of the grace."""
    rng = random.Random(seed)
    endpoints = [Endpoint(random.Random(rng.random())) for _ in range(4)]
    site = ForwardSite(endpoints)
    site.change(kind="unsafe", **{"timeout-ms": 6000})
    child = process(site)
    callers = [Caller(site, b"c%d" % n, rng.random()) for n in range(CALLERS)]
    for caller in callers:
        caller.start()
    wait_for(lambda: count_served(callers) > ANSWERED)
    stopped = time.monotonic()
    child.send_signal(signal.SIGTERM)
    assert child.wait(GRACE) == 0
    for caller in callers:
        caller.join(10.0)
    began = set().union(*(endpoint.began for endpoint in endpoints))
    answers = [answer for caller in callers for answer in caller.answers]
    lost = [
        (round(sent - stopped, 3), request_id)
        for sent, request_id, status in answers
        if not status and request_id in began
    ]
    cut_late = [
        (round(sent - stopped, 3), request_id, status)
        for sent, request_id, status in answers
        if sent - stopped > EXCUSED_SECONDS and status.startswith(b"HTTP/1.1 502")
    ]
    untrue = [
        request_id
        for _sent, request_id, status in answers
        if status.startswith(b"HTTP/1.1 503") and request_id in began
    ]
    assert (lost, cut_late, untrue) == ([], [], [])
    assert count_served(callers) > ANSWERED
    site.close()


def count_served(callers):
    """Return how many requests of the callers were answered with 200."""
    return sum(
        status.startswith(b"HTTP/1.1 200")
        for caller in callers
        for _sent, _id, status in list(caller.answers)
    )
