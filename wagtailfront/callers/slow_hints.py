"""Component that exchanges hints about slow engines with peers."""

import time

from circuits import BaseComponent, Event, handler

from wagtailfront.membership.heartbeats import member_broadcast
from wagtailfront.membership.messages import SlowHint
from wagtailfront.transport.ticker import Ticker

__all__ = ["SlowHints"]

SHARE_INTERVAL = 1.0  # seconds; a hint counts for 3 s at the receiver


class share_hints(Event):
    """Send the current hints to the peers."""


class SlowHints(BaseComponent):
    """Sends hints about slow engines to peers and applies theirs.

    Parameters
    ----------
    scheduler : PolicyScheduler
    incarnation : str
        Incarnation of this instance.
    clock : callable, optional
    """

    channel = "slow_hints"

    def __init__(self, *, scheduler, incarnation, clock=time.monotonic):
        super().__init__()
        self.scheduler = scheduler
        self.incarnation = incarnation
        self.clock = clock
        Ticker(
            interval=SHARE_INTERVAL, make_event=share_hints, target=self.channel
        ).register(self)

    @handler("share_hints")
    def _on_share(self):
        names = tuple(sorted(self.scheduler.slow_hints))
        if names:
            hint = SlowHint(incarnation=self.incarnation, endpoints=names)
            self.fire(member_broadcast(hint), "*")

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        if isinstance(message, SlowHint):
            now = self.clock()
            for name in message.endpoints:
                self.scheduler.handle_slow_hint(name, message.incarnation, now)

    @handler("members_changed", channel="*")
    def _on_members_changed(self, members):
        others = [m for m in members if m.incarnation != self.incarnation]
        self.scheduler.set_instances(len(others) + 1)
