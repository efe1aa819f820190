"""HTTP client for orders to engines and reads of their state."""

import msgspec

from wagtailfront.authority.order_rows import EngineState, Target
from wagtailfront.endpoints.engine_protocol import EngineOrder
from wagtailfront.transport.http_client import WholeResponse
from wagtailfront.transport.http_exchange import split_address

__all__ = ["EnginePort"]

ORDER_TIMEOUT = 2.0  # seconds; below the 3 s that a new lease holder waits
STALE_ORDER_STATUS = 409


class EnginePort:
    """Implements `authority.change_runner.EnginePort`.

    Parameters
    ----------
    order_pool : HttpPool
        Its connections have a TCP_USER_TIMEOUT of 3 s and are used once.
    reporter : LoadReporter
    read_engine_entry : callable
        Returns the configuration's entry of an engine by its name, or None.
    clock : callable
        Returns seconds on the clock of `valid_until`.
    """

    def __init__(self, *, order_pool, reporter, read_engine_entry, clock):
        self.order_pool = order_pool
        self.reporter = reporter
        self.read_engine_entry = read_engine_entry
        self.clock = clock

    def send_order(self, *, order, valid_until, reply):
        """Send an order unless the time is past `valid_until`.

        `reply` is called with True if the engine accepted the order, False
        if it rejected it as stale, and None if neither is known.
        """
        engine = self.read_engine_entry(order.engine)
        if engine is None:
            reply(None)
            return

        def on_done(status, _headers, _body):
            reply(_accepted(status))

        host, port = split_address(engine.address)
        sink = WholeResponse(on_done)
        sink.exchange = self.order_pool.request(
            host=host,
            port=port,
            method="POST",
            path="/orders",
            headers=[("Content-Type", "application/json"), ("Connection", "close")],
            body=_encode(order),
            sink=sink,
            timeout=ORDER_TIMEOUT,
            fresh=True,
            may_send=lambda: self.clock() < valid_until,
        )

    def read_engine(self, *, engine, reply):
        """Read an engine's state; `reply` gets None if that fails."""
        entry = self.read_engine_entry(engine)
        if entry is None:
            reply(None)
            return
        self.reporter.read(entry, on_load=lambda load: reply(_state(load)))


def _accepted(status):
    """Return whether an order was accepted, or None if unknown."""
    if status == 200:
        return True
    return False if status == STALE_ORDER_STATUS else None


def _encode(order):
    target = order.target
    return msgspec.json.encode(
        EngineOrder(
            order_id=order.order_id,
            fence=order.number,
            model=target.model,
            version=target.version,
            adapters=target.adapters,
            role=target.role,
        )
    )


def _state(load):
    if load is None:
        return None
    target = Target(load.model, load.version, load.adapters, load.role)
    return EngineState(
        target=None if load.changing else target,
        running=load.running,
        waiting=load.waiting,
        age=load.age,
    )
