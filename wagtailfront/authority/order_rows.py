"""Table rows of orders, and the targets and reports of engines."""

from typing import NamedTuple

import msgspec

from wagtailfront.stores.interfaces import Key

__all__ = [
    "OPEN",
    "DONE",
    "Target",
    "Order",
    "EngineState",
    "order_key",
    "order_number",
]

OPEN = "open"
DONE = "done"
SEQUENCE_BITS = 20  # 2**20 orders per engine and fencing number


class Target(msgspec.Struct, frozen=True):
    """Complete target state of an engine."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


class Order(msgspec.Struct, frozen=True):
    """Value of an order row.

    Attributes
    ----------
    engine : str
    fencing : int
        Fencing number of the lease under which the order was written.
    sequence : int
        Counts the orders of this engine under one fencing number.
    order_id : str
    target : Target
    state : str
        "open" until the engine reported the target, then "done".
    """

    engine: str
    fencing: int
    sequence: int
    order_id: str
    target: Target
    state: str = OPEN

    @property
    def number(self):
        """Return the number by which the engine rejects old orders."""
        return order_number(self.fencing, self.sequence)


class EngineState(NamedTuple):
    """Report of an engine; `target` is None while it loads.

    `running` and `waiting` count requests. `age` is the number of seconds by
    which the report lags behind the engine.
    """

    target: Target | None
    running: int = 0
    waiting: int = 0
    age: float = 0.0

    @property
    def is_idle(self):
        """Whether no request runs or waits."""
        return self.running == 0 and self.waiting == 0


def order_key(engine):
    """Return the key of the order row of `engine`."""
    return Key("order", engine)


def order_number(fencing, sequence):
    """Return the number sent with an order.

    It increases with each order of one lease holder and with each takeover,
    so an engine that rejects old numbers also rejects a delayed order that
    the same holder has replaced. It stays below 2**53, exact in JSON.

    Examples
    --------
    >>> order_number(2, 0) > order_number(1, 7) > order_number(1, 6)
    True
    """
    return (fencing << SEQUENCE_BITS) | sequence
