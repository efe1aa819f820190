"""Memory that one caller's connection holds, and when it is read on."""

from typing import NamedTuple

from wagtailfront.intake.giving_way import SMALL_BYTES

__all__ = [
    "MAX_PIPELINED",
    "RETRY_AFTER",
    "UNAVAILABLE",
    "AcceptQueue",
    "ConnectionIntake",
    "IntakeGate",
    "accept_queue",
]

MAX_PIPELINED = 8  # requests queued on one connection until it is read on
CONNECTION_BYTES = 8 * 1024  # of the objects of an idle connection
TLS_BYTES = 16 * 1024  # beside them, of the state of TLS
RETRY_AFTER = 1.0  # seconds; other large requests have ended by then
MAX_BUFFER, MIN_BUFFER = 64 * 1024, 8 * 1024  # of a socket, in bytes
MIN_QUEUE, MAX_QUEUE = 64, 4096  # connections
UNAVAILABLE = 503
REFUSED, CLOSED = "refused", "closed"


class AcceptQueue(NamedTuple):
    """Connections that the kernel has accepted and the listener has not.

    Attributes
    ----------
    length : int
        Most of them; further callers have to try again.
    buffer_size : int
        Bytes that the kernel may buffer of each.
    """

    length: int
    buffer_size: int


def accept_queue(shares):
    """Return the AcceptQueue that keeps to the kernel's share of memory.

    What callers send while the process is slow or stopped waits in buffers
    that the connections take over from the listening socket.

    Examples
    --------
    >>> from wagtailfront.intake.shares import divide_memory
    >>> accept_queue(divide_memory(160_000_000)).length
    1025
    """
    length = shares.kernel // (2 * MIN_BUFFER)  # the kernel takes twice as much
    return AcceptQueue(max(MIN_QUEUE, min(MAX_QUEUE, length)), MIN_BUFFER)


class ConnectionIntake:
    """Reports what a connection holds; an IntakeOwner.

    Parameters
    ----------
    gate : IntakeGate
    connection : CallerConnection
    """

    def __init__(self, *, gate, connection):
        self.gate = gate
        self.connection = connection
        self.is_paused = False
        self.holder = gate.memory.hold(self, now=gate.clock())

    @property
    def unread_bytes(self):
        """Return the bytes of answers that the caller has not read."""
        return self.gate.listener.queued.get(self.connection.sock, 0)

    @property
    def may_give_way(self):
        """Return whether it holds bytes of no request that was passed on."""
        connection = self.connection
        if self.unread_bytes:
            return True
        is_refusable = not connection.is_closing and not connection.is_busy
        return is_refusable and connection.pending_bytes > 0

    def update(self):
        """Report what is held; return whether the connection goes on."""
        connection = self.connection
        announced = connection.reader.take_announced()
        size = self.gate.connection_bytes + connection.held_bytes + self.unread_bytes
        self.pace()
        if self.is_paused or self.unread_bytes:
            size += 2 * self.gate.buffer_size()  # the kernel takes twice as much
        fits = self.gate.memory.resize(
            self.holder, size, now=self.gate.clock(), announced=announced
        )
        if fits or not self.may_give_way:
            return True
        self.give_way()
        return False

    def pace(self):
        """Leave unread what cannot be served before others are done."""
        connection = self.connection
        waits = connection.is_busy or self.unread_bytes > 0
        is_full = len(connection.waiting) > MAX_PIPELINED or (
            waits and connection.pending_bytes > SMALL_BYTES
        )
        if is_full and not self.is_paused:
            self.gate.listener.pause_reading(connection.sock)
        elif self.is_paused and not is_full and not connection.has_ended_sending:
            self.gate.listener.resume_reading(connection.sock)
        self.is_paused = is_full

    def give_way(self):
        """Refuse what is not passed on, or close one that reads slowly."""
        self.gate.record(self, CLOSED if self.unread_bytes else REFUSED)
        self.release()
        if self.unread_bytes:
            self.gate.close_slow(self.connection)
        else:
            self.gate.refuse(self.connection, UNAVAILABLE, RETRY_AFTER)

    def release(self):
        """Free the bytes, as the connection has ended or is refused."""
        self.gate.memory.release(self.holder)


class IntakeGate:
    """What the connections of one port share.

    Parameters
    ----------
    memory : IntakeMemory
    listener : HttpListener
    refuse : callable
        Refuses a CallerConnection's request, with a status and the seconds
        of its Retry-After.
    close_slow : callable
        Closes a CallerConnection whose caller reads too slowly.
    context : ForwardContext
    clock : callable
    """

    def __init__(self, *, memory, listener, refuse, close_slow, context, clock):
        self.memory = memory
        self.listener = listener
        self.refuse = refuse
        self.close_slow = close_slow
        self.context = context
        self.clock = clock
        is_plain = listener.context is None
        self.connection_bytes = CONNECTION_BYTES + (0 if is_plain else TLS_BYTES)
        listener.buffer_size = self.buffer_size

    def open(self, connection):
        """Return the ConnectionIntake of a new connection."""
        return ConnectionIntake(gate=self, connection=connection)

    def buffer_size(self):
        """Return the bytes that the kernel may buffer of a new connection."""
        # Twice as much is taken, in each of two directions.
        part = self.memory.shares.kernel // (4 * (len(self.memory.holders) + 1))
        return min(MAX_BUFFER, max(MIN_BUFFER, part))

    def record_eviction(self, *, evicted, open_connections):
        """Record that connections, or a new one, were closed at the limit."""
        outcome = "evicted" if evicted else "rejected"
        self.context.metrics.count(
            "connections_over_limit_total", amount=evicted or 1, outcome=outcome
        )
        self.context.log.decision(
            "connection_limit",
            outcome=outcome,
            closed=evicted,
            connections=open_connections,
        )

    def record(self, intake, outcome):
        """Record that a connection gives way."""
        holder = intake.holder
        self.context.metrics.count("intake_given_way_total", outcome=outcome)
        self.context.log.decision(
            "intake",
            outcome=outcome,
            size=holder.size,
            held=self.memory.total,
            stalled=round(self.clock() - holder.progress_at, 3),
        )
