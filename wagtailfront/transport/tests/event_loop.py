"""Event loop that is driven by a test."""

from circuits import BaseComponent
from circuits.core.pollers import EPoll

__all__ = ["EventLoop"]

MAX_TICKS = 5_000  # limit of one wait_for()
TICK = 0.01  # seconds; longest wait for sockets and timers in one tick


class EventLoop(BaseComponent):
    """Root component with a poller; runs only within calls of its methods."""

    def __init__(self):
        super().__init__()
        EPoll().register(self)
        # Otherwise circuits polls with a timeout of 0.
        self._running = True

    def step(self):
        """Handle pending events, or wait up to one tick for the next ones."""
        self.tick(timeout=TICK)

    def wait_for(self, condition):
        """Step until `condition` returns a true value, and return that.

        Raises
        ------
        AssertionError
            If it does not become true.
        """
        for _tick in range(MAX_TICKS):
            value = condition()
            if value:
                return value
            self.step()
        raise AssertionError("the condition did not become true")
