"""Tests of answers of the store and of engines that are cut at any byte."""

import pytest

from wagtailfront.forwarding.interfaces import StorePosition
from wagtailfront.forwarding.tests.builders import LogLines, make_record
from wagtailfront.platform.engine_client import EngineClient
from wagtailfront.platform.store_client import (
    StoreClient,
    StoreRegistry,
    StoreRouting,
)
from wagtailfront.platform.store_membership import StoreMembership
from wagtailfront.transport.http_exchange import Exchange

EMPTY_TABLE = b'{"rows":[],"ver":3}'
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nStore-Era: 2\r\nContent-Length: %d\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\nStore-Era: 2\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
}


class CuttingPool:
    """Answers each request with the same bytes, then ends the connection."""

    def __init__(self, answer, *, is_reset):
        self.answer = answer
        self.is_reset = is_reset

    def drop_idle_to(self, host, port):
        """Close idle connections, of which there are none."""

    def request(self, *, sink, host, port, method, path, **options):
        exchange = Exchange(
            pool=self,
            address=(host, port),
            secure=False,
            payload=b"",
            sink=sink,
            deadline=None,
        )
        exchange.sent = True
        if self.answer:
            exchange.receive(self.answer)
        if not exchange.done and self.is_reset:
            exchange.fail("read failed")
        elif not exchange.done:
            exchange.handle_eof()

    def release(self, exchange, *, reusable):
        pass

    def drop(self, exchange):
        pass


def frame(framing, body):
    """Return an answer with `body`."""
    head = HEADS[framing]
    whole = (head % len(body) if b"%" in head else head) + body
    return whole + b"\r\n0\r\n" if framing == "chunks" else whole


def cut_pools(framing, body):
    """Return pools for all cut answers, and one for the whole answer."""
    whole = frame(framing, body)
    cut = [
        CuttingPool(whole[:size], is_reset=is_reset)
        for size in range(len(whole))
        for is_reset in (False, True)
    ]
    return cut, CuttingPool(whole, is_reset=False)


def read_all(pool):
    """Return whether each kind of read of the store succeeded."""
    client = StoreClient(pool=pool, host="10.0.0.1", port=80)
    log, done = LogLines(), []
    registry = StoreRegistry(client=client, log=log)
    registry.read(lambda read: done.append(read.is_known))
    StoreRouting(client=client).read(lambda read: done.append(read.is_known))
    StoreMembership(client=client, log=log).read(
        lambda rows: done.append(rows is not None)
    )
    registry.watch(
        StorePosition(client.era, 1), 0, lambda read: done.append(read.is_known)
    )
    return done


@pytest.mark.parametrize("framing", HEADS)
def test_a_cut_answer_of_the_store_is_no_empty_table(framing):
    """Guards against endpoints, routes or instances that seem removed."""
    cut, whole = cut_pools(framing, EMPTY_TABLE)
    assert {tuple(read_all(pool)) for pool in cut} == {(False,) * 4}
    assert read_all(whole)[0]


@pytest.mark.parametrize("framing", HEADS)
def test_a_cut_list_of_cached_parts_is_not_used(framing):
    """Guards against an engine whose cache seems empty."""
    cut, whole = cut_pools(framing, b'{"held":[]}')
    replies = []
    for pool in (*cut, whole):
        EngineClient(pool=pool, instance="i").read_cached_parts(
            make_record("e1"), lambda parts, reason: replies.append(parts)
        )
    assert replies == [None] * len(cut) + [[]]
