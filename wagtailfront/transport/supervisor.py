"""Supervisor tree that restarts failed components with a backoff."""

import logging
import time
from collections import deque
from typing import NamedTuple

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from wagtailfront.transport.ticker import Alarm

__all__ = ["ChildSpec", "Supervisor", "make_root", "child_failed"]

logger = logging.getLogger(__name__)

FIRST_BACKOFF = 0.1  # seconds
MAX_BACKOFF = 5.0  # seconds
MAX_FAILURES = 5  # within FAILURE_WINDOW before the supervisor gives up
FAILURE_WINDOW = 60.0  # seconds
EXIT_FAILED = 1


class ChildSpec(NamedTuple):
    """Name and factory of a supervised component."""

    name: str
    factory: object


class child_failed(Event):
    """A child supervisor exceeded its failure limit: (label,)."""


class restart_children(Event):
    """Start the children that are stopped."""


class Supervisor(BaseComponent):
    """Starts children in order and restarts them when one fails.

    Parameters
    ----------
    label : str
    children : list of ChildSpec
    clock : callable, optional

    Notes
    -----
    Later children may hold references to earlier ones, so a failed child and
    all that were started after it are restarted.

    An exception in a handler of `request` events does not count as a failure:
    it is answered with status 500, so that no caller can stop a component.
    """

    def __init__(self, *, label, children, clock=time.monotonic):
        super().__init__(channel=f"supervisor-{label}")
        self.label = label
        self.specs = list(children)
        self.clock = clock
        self.live = {}
        self.failures = deque()
        self.backoff = FIRST_BACKOFF
        self.restart_pending = False
        self._start_missing()

    def _start_missing(self):
        for spec in self.specs:
            if spec.name not in self.live:
                self.live[spec.name] = spec.factory().register(self)

    def find_child(self, component):
        """Return the name of the child whose subtree holds `component`."""
        node = component
        while node is not None and node is not node.parent:
            for name, child in self.live.items():
                if child is node:
                    return name
            node = node.parent
        return None

    @handler("exception", channel="*")
    def _on_exception(self, kind, value, traceback, handler=None, fevent=None):
        owner = getattr(handler, "__self__", None)
        name = None if owner is None else self.find_child(owner)
        if name is None or isinstance(self.live[name], Supervisor):
            return
        text = "".join(traceback) if isinstance(traceback, list) else value
        logger.error("[supervisor] %s raised %s: %s", name, kind.__name__, text)
        if getattr(fevent, "name", "") != "request":
            self.fail_child(name)

    @handler("child_failed")
    def _on_child_failed(self, name):
        self.fail_child(name)

    def fail_child(self, name):
        """Stop a child and all later ones, and schedule their restart."""
        now = self.clock()
        self.failures.append(now)
        while now - self.failures[0] > FAILURE_WINDOW:
            self.failures.popleft()
        if len(self.failures) > MAX_FAILURES:
            self._escalate(name)
            return
        names = [spec.name for spec in self.specs]
        for later in reversed(names[names.index(name) :]):
            child = self.live.pop(later, None)
            if child is not None:
                child.unregister()
        if not self.restart_pending:
            self.restart_pending = True
            Alarm(
                delay=self.backoff, event=restart_children(), target=self.channel
            ).register(self)
            logger.warning("[supervisor] Restarting %s in %.1f s.", name, self.backoff)
            self.backoff = min(MAX_BACKOFF, self.backoff * 2)

    @handler("restart_children")
    def _on_restart(self):
        self.restart_pending = False
        self._start_missing()

    def _escalate(self, name):
        logger.critical(
            "[supervisor] %s failed too often; supervisor %s gives up.",
            name,
            self.label,
        )
        if isinstance(self.parent, Supervisor):
            self.fire(child_failed(self.label), self.parent.channel)
        else:
            self.root.stop(EXIT_FAILED)


def make_root(component):
    """Register an epoll poller under `component`; return `component`.

    Notes
    -----
    circuits falls back to select, which fails beyond 1,024 descriptors.
    """
    EPoll().register(component)
    return component
