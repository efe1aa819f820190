"""Server of HTTP connections, for each port that takes requests."""

import itertools
import logging
import time

from circuits import BaseComponent, Event, handler

from wagtailfront.intake.connection_intake import IntakeGate, accept_queue
from wagtailfront.intake.giving_way import SMALL_BYTES
from wagtailfront.intake.intake_memory import IntakeMemory
from wagtailfront.intake.shares import divide_memory
from wagtailfront.intake.usable_memory import usable_memory
from wagtailfront.serving.caller_timeouts import CallerTimeouts
from wagtailfront.serving.connection import CallerConnection
from wagtailfront.serving.connection_evictor import ConnectionEvictor
from wagtailfront.serving.half_closed_callers import HalfClosedCallers
from wagtailfront.serving.reply import Reply
from wagtailfront.serving.unanswered_log import UnansweredLog
from wagtailfront.transport.framing import (
    CONTINUE,
    encode_head,
    status_line,
)
from wagtailfront.transport.http_listener import CLOSED_HERE, SLOW_PEER, HttpListener
from wagtailfront.transport.server_limits import ServerLimits
from wagtailfront.transport.ticker import Ticker

__all__ = ["ConnectionServer"]

logger = logging.getLogger(__name__)

SWEEP_INTERVAL = 0.5  # seconds between checks for slow and idle callers
BAD_GATEWAY = 502  # does not say whether the request has run
REQUEST_TIMEOUT = 408
# Seconds in which a caller reads the refusal of a request that it still sends.
LINGER_SECONDS = 1.0
# Why this instance closes a connection.
BROKEN_ANSWER = "its answer was broken off"
AFTER_ANSWER = "closed after an answer"
AFTER_REFUSAL = "closed after a refusal"
IDLE = "closed as idle"


class sweep(Event):
    """Close connections that are idle or send too slowly."""


class ConnectionServer(BaseComponent):
    """Accepts connections and passes their requests to an application.

    Parameters
    ----------
    bind : (str, int)
        Address and port.
    application : Application
    max_connections : int
    memory : IntakeMemory, optional
        Shared by all ports of an instance; by default that of the machine.
    channel : str, optional
    context : ssl.SSLContext, optional
        Serves TLS when given.
    clock : callable, optional
    """

    def __init__(
        self,
        *,
        bind,
        application,
        max_connections,
        memory=None,
        channel="connection_server",
        context=None,
        clock=time.monotonic,
    ):
        super().__init__(channel=channel)
        self.application = application
        self.clock = clock
        self.connections = {}
        self.unanswered = UnansweredLog(application=application, clock=clock)
        self.is_draining = False
        self.http = self  # HttpListener passes received bytes to `parent.http`
        memory = memory or IntakeMemory(shares=divide_memory(usable_memory()))
        limits = ServerLimits(max_connections=max_connections)
        self.listener = HttpListener(
            bind,
            channel=channel,
            context=context,
            limits=limits,
            queue=accept_queue(memory.shares),
            keeps_half_closed=self._keeps_half_closed,
        ).register(self)
        self.half_closed = HalfClosedCallers(
            listener=self.listener, timers=application.context.timers, clock=clock
        )
        self.timeouts = CallerTimeouts(
            listener=self.listener, limits=application.limits, clock=clock
        )
        self.listener.on_flushed = self._on_flushed
        self.listener.on_queued = self._on_queued
        self.listener.on_full = ConnectionEvictor(
            server=self, max_connections=max_connections
        ).evict
        self.intake = IntakeGate(
            memory=memory,
            listener=self.listener,
            refuse=self._refuse,
            close_slow=lambda each: self.listener.reset(each.sock, SLOW_PEER),
            context=application.context,
            clock=clock,
        )
        Ticker(interval=SWEEP_INTERVAL, make_event=sweep, target=channel).register(self)

    def receive(self, sock, data):
        """Parse bytes received from a caller."""
        now = self.clock()
        limits = self.application.limits.at(now)
        connection = self.connections.get(sock) or self._open(sock)
        connection.last_activity = now
        if connection.is_closing:
            self._drop(connection, data)
            return
        connection.use_limits(limits)
        connection.add_waiting(self._read_requests(connection, data, now))
        if connection.intake.update():
            self._serve_next(connection)

    def _read_requests(self, connection, data, now):
        """Return the requests that `data` completes."""
        turns, reader = self.listener.turns, connection.reader
        parts = reader.body_parts
        received = connection.receive(data, now=now)
        turns.charge(connection.sock, size=len(data), parts=reader.body_parts - parts)
        if received:
            turns.settle(connection.sock)
        return received

    @handler("connect")
    def _on_connect(self, sock, *_address):
        # Its bytes, or its end, may have been read already.
        if sock in self.listener.clients and sock not in self.connections:
            self._open(sock)

    def _open(self, sock):
        """Return the state of a new connection."""
        now = self.clock()
        limits = self.application.limits.at(now)
        connection = CallerConnection(sock=sock, limits=limits, now=now)
        connection.intake = self.intake.open(connection)
        self.connections[sock] = connection
        return connection

    def _keeps_half_closed(self, sock):
        """Return whether to keep a connection whose caller sends no more."""
        connection = self.connections.get(sock)
        if connection is None or not self._owes_answer(connection):
            return False
        self.half_closed.keep(connection)
        return True

    def _owes_answer(self, connection):
        """Return whether a caller that sends no more may await an answer."""
        if self.timeouts.is_reading_answer(connection):
            return True
        if connection.is_closing or not connection.has_request:
            return False
        # Most such callers have left, and prefills are dear to the others.
        return connection.task is None or not connection.task.is_prefilling

    def _drop(self, connection, data):
        """Record what arrives on a connection that is being closed."""
        self.unanswered.record_bytes(len(data), reason=connection.close_reason)
        for received in self._read_requests(connection, data, self.clock()):
            if connection.is_part_refused:
                connection.is_part_refused = False
                continue
            self.unanswered.record(
                received, reason=connection.close_reason, state="read after the close"
            )
        if connection.reader.held_bytes > SMALL_BYTES:
            connection.reader.give_up(BAD_GATEWAY, "read after the close")

    def _serve_next(self, connection):
        while not connection.is_busy and not connection.is_closing:
            if connection.waiting:
                if self.timeouts.is_reading_answer(connection):
                    return  # _on_flushed goes on
                connection.take_next()
                connection.intake.pace()
                self._serve(connection, connection.current.request)
            elif connection.reader.failure is not None:
                self._answer_failure(connection, connection.reader.failure.status)
            elif connection.has_ended_sending:
                self._close(connection, AFTER_ANSWER)
            elif connection.reader.expects_continue:
                connection.reader.expects_continue = False
                self.listener.write(connection.sock, CONTINUE)
            else:
                return

    def _on_flushed(self, sock):
        connection = self.connections.get(sock)
        if connection is not None:
            self._serve_next(connection)

    def _on_queued(self, sock):
        connection = self.connections.get(sock)
        if connection is not None:
            connection.intake.update()

    def _serve(self, connection, request):
        reply = Reply(server=self, connection=connection, request=request)
        try:
            task = self.application.accept(request, reply)
        except Exception:
            # A fault in one request must not stop the whole server.
            logger.exception("[callers] Failed to start a request.")
            if reply.is_started:
                reply.abort()
            else:
                reply.answer(BAD_GATEWAY, [], b"")
            return
        # accept() may have ended the task and begun the next request.
        if task is not None and not reply.is_ended:
            connection.task = task

    def _refuse(self, connection, status, retry_after):
        """Refuse a request of which nothing has been passed on."""
        if connection.waiting:
            connection.take_next()
            connection.current = None  # the refusal is its answer
        self._answer_failure(connection, status, retry_after)
        connection.reader.give_up(status, "no memory")
        self._record_unanswered(connection)

    def write_refusal(self, connection, status, retry_after):
        """Write an answer of the server itself, the last on a connection."""
        headers, body = self.application.refusal(status, retry_after)
        length = (b"Content-Length", b"%d" % len(body))
        headers = [*headers, length, (b"Connection", b"close")]
        head = encode_head(status_line(status), headers)
        self.listener.write(connection.sock, head + body)

    def _answer_failure(self, connection, status, retry_after=None):
        self.write_refusal(connection, status, retry_after)
        connection.is_part_refused = not connection.reader.is_between_requests
        self.start_closing(connection, AFTER_REFUSAL)
        # Closing with unread bytes would reset it, answer included.
        self.listener.end_writing(connection.sock)
        self.application.context.timers.after(
            LINGER_SECONDS, lambda: self._close(connection, AFTER_REFUSAL)
        )

    def end_reply(self, connection, keep_alive):
        """Serve the connection's next request, or close the connection."""
        connection.task = None
        connection.was_served = True
        if connection.sock not in self.listener.clients:
            # Writing the answer has ended the connection.
            self._record_unanswered(connection)
        connection.current = None
        connection.intake.update()
        connection.last_activity = self.clock()
        if connection.begun_at is not None:  # the next one was not read on
            connection.begun_at = connection.last_activity
        if keep_alive:
            # Deferred: the task that has just answered is still ending.
            self.application.context.timers.after(
                0.0, lambda: self._serve_next(connection)
            )
        else:
            self._close(connection, AFTER_ANSWER)

    def start_closing(self, connection, reason):
        """Serve no further request of a connection."""
        if not connection.is_closing:
            connection.is_closing = True
            connection.close_reason = reason

    def _close(self, connection, reason):
        self.start_closing(connection, reason)
        if connection.sock in self.listener.clients:
            self.listener.close(connection.sock)

    def reset(self, connection, *, is_framed):
        """Break off an answer so that it cannot be taken for a whole one.

        Parameters
        ----------
        connection : CallerConnection
        is_framed : bool
            Whether the answer has an end of its own. Without one, only RST
            tells its caller that more was to follow.
        """
        self.start_closing(connection, BROKEN_ANSWER)
        if is_framed:
            self.listener.cut(connection.sock)
        else:
            self.listener.reset(connection.sock)

    @handler("disconnect")
    def _on_disconnect(self, sock):
        connection = self.connections.pop(sock, None)
        if connection is None:
            return
        connection.intake.release()
        # Freed now, as these objects refer to each other.
        connection.reader.give_up(BAD_GATEWAY, "the connection has ended")
        self._record_unanswered(connection)
        connection.is_closing = True
        task, connection.task = connection.task, None
        if task is not None:
            task.run(task.cancel)

    def _record_unanswered(self, connection):
        ended = self.listener.close_reasons.get(connection.sock, CLOSED_HERE)
        # One that was being closed ends as this instance decided.
        reason = connection.close_reason or ended
        states = itertools.chain(
            ["in progress"] if connection.is_busy else [], itertools.repeat("waiting")
        )
        for received, state in zip(connection.take_unanswered(), states, strict=False):
            self.unanswered.record(received, reason=reason, state=state)

    @handler("sweep")
    def _on_sweep(self):
        for connection in list(self.connections.values()):
            if self.timeouts.is_stalled(connection):
                self.listener.reset(connection.sock, SLOW_PEER)
            elif self.timeouts.is_overdue(connection) and not self.read_more(
                connection
            ):
                if connection.reader.is_between_requests:
                    self._close(connection, IDLE)
                else:
                    self._answer_failure(connection, REQUEST_TIMEOUT)
            elif self.timeouts.is_too_long(connection):
                self._answer_failure(connection, REQUEST_TIMEOUT)
        self.listener.abort_late_handshakes()

    def read_more(self, connection):
        """Read what has arrived; return whether there was anything."""
        before = connection.reader.bytes_read
        self.listener.read_now(connection.sock)
        return connection.reader.bytes_read > before

    def has_more(self, connection):
        """Return whether requests follow an answer, also if only in part."""
        # A caller that sends no more may still read the answer.
        connection.task = None
        return (
            bool(connection.waiting)
            or not connection.reader.is_between_requests
            or self.read_more(connection)
        )

    def start_draining(self):
        """Close each connection after its current request."""
        self.is_draining = True

    def end_reading(self):
        """Leave unread what arrives, as nothing more can be answered."""
        self.listener.end_reading()

    def close_idle(self):
        """Close the connections without a request in progress."""
        for connection in list(self.connections.values()):
            if (
                connection.is_idle
                and not self.timeouts.is_reading_answer(connection)
                and not self.read_more(connection)
            ):
                self._close(connection, IDLE)
