"""Graceful shutdown of a forwarding instance."""

import signal

from circuits import BaseComponent, handler

__all__ = ["Shutdown"]

# Seconds until the load balancer stops sending to an instance that is not
# ready.
BALANCER_DELAY = 3.0
# Seconds by which requests are refused earlier, since SIGTERM is handled some
# time after it was sent.
REFUSAL_MARGIN = 0.05
CHECK_INTERVAL = 0.25  # seconds between checks for open requests
STOP_MARGIN = 0.5  # seconds before the platform kills the process
WRITE_SECONDS = 0.1  # seconds until the last answers are written


class Shutdown(BaseComponent):
    """Drains and stops the instance on SIGTERM; logs SIGHUP.

    Parameters
    ----------
    servers : list of ConnectionServer
    forwarder : Forwarder
    timers : Timers
    grace : float
        Seconds from SIGTERM until the process is killed.
    log : DecisionLog

    Notes
    -----
    Requests that arrive once the load balancer has had time to stop sending
    are refused, if they may last longer than this instance.

    The channel keeps the name "departure", the component's name in the
    supervisor tree.
    """

    channel = "departure"

    def __init__(self, *, servers, forwarder, timers, grace, log):
        super().__init__()
        self.servers = servers
        self.forwarder = forwarder
        self.timers = timers
        self.grace = grace
        self.log = log
        self.is_draining = False
        signal.signal(signal.SIGHUP, self._on_hangup)

    def _on_hangup(self, number, frame):
        # Called between any two steps of the program, also within the log.
        self.timers.after(0.0, self._log_hangup)

    def _log_hangup(self):
        # Settings are flags and environment variables, fixed at the start.
        self.log.decision("reload", outcome="settings unchanged until a restart")

    @handler("signal", channel="*")
    def _on_signal(self, event, number, stack):
        event.stop()
        if self.is_draining:
            return
        self.is_draining = True
        for server in self.servers:
            server.start_draining()
        self.log.decision("stop", outcome="leaving", requests=len(self.forwarder.tasks))
        stop_after = max(0.0, self.grace - STOP_MARGIN)
        now = self.forwarder.context.clock()
        self.forwarder.serves_until = now + stop_after
        self.forwarder.refuses_from = now + BALANCER_DELAY - REFUSAL_MARGIN
        self.timers.after(BALANCER_DELAY, self._check)
        self.timers.after(stop_after, self._end_requests)

    def _check(self):
        for server in self.servers:
            server.close_idle()
        if self.forwarder.tasks or any(each.connections for each in self.servers):
            self.timers.after(CHECK_INTERVAL, self._check)
        else:
            self._stop()

    def _end_requests(self):
        """Answer what is still in progress, then stop."""
        self.log.decision("stop", outcome="ending", requests=len(self.forwarder.tasks))
        for task in tuple(self.forwarder.tasks):
            task.run(task.stop)
        self.timers.after(WRITE_SECONDS, self._stop)

    def _stop(self):
        self.log.decision("stop", outcome="stopped", requests=len(self.forwarder.tasks))
        # The event loop goes round a few times more.
        for server in self.servers:
            server.end_reading()
        self.root.stop(0)
