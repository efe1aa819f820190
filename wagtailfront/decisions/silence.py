"""Detection of open connections that no longer deliver bytes."""

import enum
from dataclasses import dataclass

__all__ = ["GAP_FACTOR", "State", "ConnectionWatch", "EndpointSilence"]

GAP_FACTOR = 6.0  # times the expected gap; must be above 5
MIN_TIMEOUT = 0.5  # seconds; shorter pauses of a process are common
PROBE_TIMEOUT = 1.0  # seconds; covers several round trips and one batching step
MIN_RESUME_TIME = 0.5  # seconds; a probe may be answered before streams go on


class State(enum.Enum):
    """State of a streaming connection."""

    PROGRESSING = "progressing"
    SUSPECT = "suspect"
    PROBING = "probing"
    ANSWERED = "answered"  # the probe was; progress must follow
    SILENT = "silent"


@dataclass(kw_only=True)
class ConnectionWatch:
    """Watch of one connection with an expected `gap` between bytes, in s."""

    gap: float
    last: float
    state: State = State.PROGRESSING
    answered: float | None = None  # when a probe was

    @property
    def deadline(self):
        """Return when it becomes suspect, or silent after a probe's answer."""
        if self.answered is not None:
            return self.answered + max(self.gap, MIN_RESUME_TIME)
        return self.last + max(GAP_FACTOR * self.gap, MIN_TIMEOUT)


class EndpointSilence:
    """Detects silent connections to one endpoint, with probes.

    Parameters
    ----------
    probe_timeout : float, optional
        Seconds after which an unanswered probe has failed.

    Notes
    -----
    A connection without progress for `GAP_FACTOR` times its expected gap (at
    least `MIN_TIMEOUT`) is suspect. One probe at a time is then sent on a new
    connection. If it is answered, the endpoint works, so all connections that
    still make no progress for another expected gap (at least
    `MIN_RESUME_TIME`) are silent and their traffic must move. If it fails,
    the fault is the endpoint's; the connections stay suspect and the next
    poll probes again. Progress ends any suspicion, but a silent
    connection stays silent, because its traffic has already moved.

    Examples
    --------
    >>> endpoint = EndpointSilence()
    >>> endpoint.open("c1", gap=0.1, now=0.0)
    >>> endpoint.poll(now=0.5)
    False
    >>> endpoint.poll(now=0.7)
    True
    >>> endpoint.probe_answered(now=0.71)
    ()
    >>> endpoint.take_silent(now=1.22)
    ('c1',)
    """

    def __init__(self, *, probe_timeout=PROBE_TIMEOUT):
        self.probe_timeout = probe_timeout
        self.connections = {}
        self.probe_sent = None
        self.failed_probes = 0

    def open(self, connection, *, gap, now):
        """Watch `connection`, whose next progress is due in `gap` seconds."""
        self.connections[connection] = ConnectionWatch(gap=gap, last=now)

    def close(self, connection):
        """Stop watching `connection`."""
        self.connections.pop(connection, None)

    def record_progress(self, connection, *, gap, now):
        """Record that bytes arrived; return False if they must be ignored.

        Parameters
        ----------
        connection : hashable
        gap : float
            Expected seconds until the next progress; for example longer
            before a first token than between tokens.
        now : float
        """
        watch = self.connections.get(connection)
        if watch is None or watch.state is State.SILENT:
            return False
        self.connections[connection] = ConnectionWatch(gap=gap, last=now)
        self.failed_probes = 0
        return True

    def poll(self, *, now):
        """Update the states; return whether to send a probe now."""
        if self.probe_sent is not None and now - self.probe_sent >= self.probe_timeout:
            self.probe_failed(now=now)
        for watch in self.connections.values():
            if watch.state is State.PROGRESSING and now > watch.deadline:
                watch.state = State.SUSPECT
        suspects = self._in_state(State.SUSPECT)
        if not suspects or self.probe_sent is not None:
            return False
        for connection in suspects:
            self.connections[connection].state = State.PROBING
        self.probe_sent = now
        return True

    def take_silent(self, *, now):
        """Return each silent connection once; its traffic must move."""
        silent = tuple(
            connection
            for connection in self._in_state(State.ANSWERED)
            if now > self.connections[connection].deadline
        )
        for connection in silent:
            self.connections[connection].state = State.SILENT
        return silent

    def probe_answered(self, *, now):
        """Give suspects one more gap; return what `take_silent` does.

        A late answer to a probe that already counts as failed is ignored.
        """
        if self.probe_sent is None:
            return ()
        self.probe_sent = None
        self.failed_probes = 0
        for state in (State.PROBING, State.SUSPECT):
            for connection in self._in_state(state):
                watch = self.connections[connection]
                watch.state, watch.answered = State.ANSWERED, now
        return self.take_silent(now=now)

    def probe_failed(self, *, now):
        """Record that the probe on a new connection failed too."""
        self.probe_sent = None
        self.failed_probes += 1
        for connection in self._in_state(State.PROBING):
            self.connections[connection].state = State.SUSPECT

    def _in_state(self, state):
        return tuple(
            connection
            for connection, watch in self.connections.items()
            if watch.state is state
        )
