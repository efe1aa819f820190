"""Orders to engines: written under the lease, then sent until done."""

from typing import NamedTuple

import msgspec

from wagtailfront.authority.effects import (
    OutstandingRequest,
    ReadEngine,
    ReadRow,
    SendOrder,
    StartTimer,
    WriteRows,
)
from wagtailfront.authority.order_rows import DONE, OPEN, Order, order_key
from wagtailfront.stores.interfaces import Check, Committed, Found, Missing, Put

__all__ = ["OrderTimes", "OrderMachine"]


class OrderTimes(NamedTuple):
    """Times of orders in seconds.

    `delivery_timeout` is the TCP_USER_TIMEOUT of an order's connection, 3 s,
    plus half a second for the kernel's timers: bytes that were written longer
    ago are delivered or dropped.
    """

    delivery_timeout: float = 3.5
    poll: float = 1.0
    retry_after: float = 0.2


class OrderMachine:
    """Keeps one engine at the target of its order row while the lease is held.

    Parameters
    ----------
    engine : str
    checks_fencing : bool
        Whether the engine rejects orders with old numbers.
    new_id : callable
        Returns fresh order ids and transaction tokens.
    times : OrderTimes

    Attributes
    ----------
    wanted : Target or None
        Set by the owner; None leaves the target of the order row as it is.
    state : EngineState or None
        Latest report, None if the engine did not answer.

    Notes
    -----
    Each step is called with the `Grant` of the lease at `now`, None if the
    lease is not held. The first step under a new fencing number reads the row
    and writes it again under that number, so that engines that check fencing
    numbers reject orders of the former holder.

    Examples
    --------
    >>> from wagtailfront.authority.lease import Grant, lease_key
    >>> machine = OrderMachine(engine="e1", checks_fencing=True, new_id=str)
    >>> grant = Grant(lease_key("g"), 4, 2, 0.0, 7.5)
    >>> report, read, timer = machine.on_time(0.0, grant)
    >>> report.engine, read.key
    ('e1', Key(partition='order', sort='e1'))
    """

    def __init__(self, *, engine, checks_fencing, new_id, times=None):
        self.engine = engine
        self.key = order_key(engine)
        self.checks_fencing = checks_fencing
        self.new_id = new_id
        self.times = times or OrderTimes()
        self.store_request = OutstandingRequest(owner=f"order/{engine}")
        self.state_request = OutstandingRequest(owner=f"order-state/{engine}")
        self.wanted = None
        self.fencing = 0
        self.last_sent_at = float("-inf")
        self.last_sent_number = 0
        self.next_poll = float("-inf")
        self.next_write = float("-inf")
        self._begin_term(0)

    def _begin_term(self, fencing):
        self.fencing = fencing
        self.version = None  # of the row; None until it was read
        self.order = None
        self.writing = None
        self.in_doubt = None  # (row, lease) versions of a write in doubt
        self.accepted_at = None  # when the engine accepted the current order
        self.rejected = False
        self.state = None
        self.state_asked_at = float("-inf")  # less the age of the report
        self.store_request.tag = None
        self.state_request.tag = None

    def is_settled(self):
        """Whether the engine has its target and no order is open.

        Nothing is ordered then, not even under a new fencing number: an
        engine that reloads on each order would interrupt its requests. A late
        order of an earlier holder can only be the one that is done, with the
        same target.
        """
        if self.state is None or self.version is None:
            return False
        present = self.order
        target = self.wanted or (present and present.target)
        if target is None or self.state.target != target:
            return False
        if present is None:
            return True
        return present.state == DONE and present.target == target

    def _awaits_state(self):
        """Whether to wait for the engine's first report of this lease term.

        Without an open order the engine may already have its target.
        """
        is_open = self.order is not None and self.order.state == OPEN
        return self.state is None and not is_open

    def is_written(self):
        """Whether the wanted order needs no further write."""
        return self.is_settled() or (
            self.order is not None
            and self.order.fencing == self.fencing
            and self.wanted in (None, self.order.target)
        )

    def is_done(self):
        """Whether the engine reported the wanted target."""
        return self.is_settled() or (self.is_written() and self.order.state == DONE)

    def on_time(self, now, grant):
        """Return the effects that are due at `now`."""
        if grant is None:
            return (StartTimer(now + self.times.poll),)
        if grant.fencing != self.fencing:
            self._begin_term(grant.fencing)
        if self.store_request.expire(now):
            self.version = None
        effects = self._poll(now)
        if not self.store_request.is_waiting(now) and now >= self.next_write:
            effects += self._advance(now, grant)
        return (*effects, StartTimer(self._wake_at(now)))

    def on_reply(self, now, grant, tag, reply):
        """Handle a reply of the store to a read or a write."""
        call = self.store_request.close(tag)
        if call is None:
            return ()
        if grant is None or grant.fencing != self.fencing:
            self._invalidate(now)
        elif call[0] == "write" and isinstance(reply, Committed):
            self.version += 1
            self.in_doubt = None
            self._set_order(self.writing)
        elif call[0] == "read" and isinstance(reply, (Found, Missing)):
            self._on_read(reply)
        else:
            self._invalidate(now)
        return self.on_time(now, grant)

    def on_state(self, now, grant, tag, state):
        """Handle a report of the engine, None if it did not answer."""
        call = self.state_request.close(tag)
        if call is None:
            return ()
        self.state = state
        # An aged report counts as if it had been requested that much earlier.
        self.state_asked_at = call[1] - (0.0 if state is None else state.age)
        return self.on_time(now, grant)

    def on_sent(self, now, grant, number, accepted):
        """Handle the engine's answer to the order with `number`.

        Parameters
        ----------
        accepted : bool or None
            False if the engine rejected the number as old, None if there was
            no answer. A rejection proves that another instance has a higher
            number, so nothing is sent again under the current one.
        """
        if self.order is not None and number == self.order.number:
            if accepted and self.accepted_at is None:
                self.accepted_at = now
            elif accepted is False:
                self.rejected = True
        return self.on_time(now, grant)

    def _invalidate(self, now):
        """Discard the row that was read; read it again before a write."""
        self.version = None
        self.next_write = now + self.times.retry_after

    def _wake_at(self, now):
        if self.store_request.is_waiting(now):
            return min(self.store_request.due(), self.next_poll)
        if now < self.next_write:
            return min(self.next_write, self.next_poll)
        return max(self.next_poll, now + self.times.retry_after)

    def _poll(self, now):
        if now < self.next_poll:
            return ()
        self.next_poll = now + self.times.poll
        if self.state_request.is_waiting(now):
            return ()
        if self.state_request.expire(now):
            self.state = None
        return (ReadEngine(self.state_request.open("poll", now), self.engine),)

    def _on_read(self, reply):
        if isinstance(reply, Missing):
            self.version, self.order = 0, None
            return
        self.version = reply.row.version
        self._set_order(msgspec.msgpack.decode(reply.row.value, type=Order))

    def _set_order(self, order):
        if self.order is None or order.number != self.order.number:
            self.accepted_at = None
        self.order = order

    def _advance(self, now, grant):
        """Return the next write or send."""
        if self.in_doubt is not None and self.in_doubt[1] != grant.version:
            self.in_doubt = None  # can't take effect any more; read the row
            self.version = None
        if self.version is None:
            tag = self.store_request.open("read", now)
            return (ReadRow(tag, self.key),)
        if self._awaits_state() or self.is_settled():
            return ()
        order = self._next_order()
        if order is None:
            return ()
        if order != self.order:
            return self._write(now, grant, order)
        return self._send(now, grant)

    def _next_order(self):
        """Return the order that the row should contain, None for no order."""
        present = self.order
        target = self.wanted or (present and present.target)
        if target is None:
            return None
        if present is None or present.fencing != self.fencing:
            return Order(self.engine, self.fencing, 0, self.new_id(), target)
        if present.target != target:
            sequence = present.sequence + 1
            return Order(self.engine, self.fencing, sequence, self.new_id(), target)
        if present.state == OPEN and self._is_reached():
            return msgspec.structs.replace(present, state=DONE)
        return present

    def _is_reached(self):
        """Whether the engine accepted the order and then reported its target.

        A report that was requested before the engine accepted the order may
        be older than the order.
        """
        return (
            self.accepted_at is not None
            and self.state_asked_at >= self.accepted_at
            and self.state is not None
            and self.state.target == self.order.target
        )

    def _write(self, now, grant, order):
        self.writing = order
        self.in_doubt = (self.version, grant.version)
        put = Put(self.key, self.version, msgspec.msgpack.encode(order))
        check = Check(grant.key, grant.version)
        tag = self.store_request.open("write", now)
        return (WriteRows(tag, self.new_id(), (put,), (check,)),)

    def _send(self, now, grant):
        """Send the written order unless the engine has reached its target.

        An unanswered write can still take effect, and make the row differ
        from `order`, until the version of the row or the lease has changed.
        """
        if self._is_reached() or self.rejected:
            return ()
        if self.in_doubt is not None and self.in_doubt[0] == self.version:
            return ()
        if now < self._earliest_send(grant):
            return ()
        self.last_sent_at = now
        self.last_sent_number = self.order.number
        return (SendOrder(self.order, grant.until),)

    def _earliest_send(self, grant):
        """Return from when on bytes of an earlier order can't arrive."""
        if self.last_sent_number == self.order.number:
            return self.last_sent_at + self.times.poll
        if self.checks_fencing:
            return float("-inf")
        return max(self.last_sent_at, grant.since) + self.times.delivery_timeout
