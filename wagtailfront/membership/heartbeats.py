"""Component that pings peers and maintains the member list."""

import logging

from circuits import BaseComponent, Event, handler

from wagtailfront.authority.config_state import EMPTY
from wagtailfront.membership.member_list import MemberList
from wagtailfront.membership.messages import Leaving, Ping, Pong
from wagtailfront.membership.peer_bus import peer_send, peers_changed
from wagtailfront.membership.pinger import (
    FAST_PING_INTERVAL,
    PING_INTERVAL,
    Pinger,
    ping_addresses,
    probe_addresses,
)
from wagtailfront.transport.ticker import Ticker

__all__ = [
    "config_applied",
    "config_requested",
    "ping_pace",
    "instances_listed",
    "member_broadcast",
    "start_leaving",
    "peer_report",
    "members_changed",
    "members_gone",
    "Heartbeats",
]

TICK = 0.1  # seconds
# Times that this instance sends `Leaving`, since a message may be lost.
LEAVING_REPEATS = 3
# Seconds between updates of the peers to ping and of the members that are
# gone; both iterate over the whole roster.
PEER_UPDATE_INTERVAL = 1.0
CLEANUP_INTERVAL = 60.0  # seconds
# Most addresses known only from pings that they sent, and the seconds for
# which they are pinged in return.
MAX_PING_SENDERS = 16
PING_SENDER_LIFETIME = 120.0

logger = logging.getLogger(__name__)


class config_applied(Event):
    """A newer configuration was applied: `config`."""


class config_requested(Event):
    """A component has started and needs the configuration and ping pace."""


class ping_pace(Event):
    """How often to ping peers: `fast`, `waiting`.

    `fast` means every 0.5 s instead of every 2.5 s. `waiting` means that a
    version is not in effect yet.
    """


class instances_listed(Event):
    """The platform's list was read: `instances` of `ListedInstance`."""


class member_broadcast(Event):
    """Send `message` to all peers, then ping them for their versions."""


class start_leaving(Event):
    """This instance accepts no new work from now on."""


class peer_report(Event):
    """A peer answered a ping: `report`."""


class members_changed(Event):
    """The set of members that may get new work changed.

    `members` is a tuple of `Member`.
    """


class members_gone(Event):
    """The set of roster members that have ended changed: `incarnations`."""


class heartbeat_tick(Event):
    """Send the pings that are due."""


class Heartbeats(BaseComponent):
    """Pings peers for their versions and maintains the member list.

    Parameters
    ----------
    member : RosterMember
        This instance.
    clock : callable
        Returns seconds that also count while the machine sleeps.
    random : random.Random
    """

    channel = "heartbeats"

    def __init__(self, *, member, clock, random):
        super().__init__()
        self.member = member
        self.clock = clock
        self.pinger = Pinger(member=member, random=random)
        self.members = MemberList(now=clock())
        self.config = EMPTY
        self.interval = FAST_PING_INTERVAL
        self.waiting = False
        self.leaving_repeats_left = 0
        self.next_peer_update = clock()
        self.next_cleanup = clock() + CLEANUP_INTERVAL
        self.work_targets = ()
        self.gone = frozenset()
        self.peers = ()
        self.ping_senders = {}
        Ticker(interval=TICK, make_event=heartbeat_tick, target=self.channel).register(
            self
        )
        self.fire(config_requested(), "*")

    def addresses(self):
        """Return the addresses of the peers to ping."""
        return ping_addresses(
            self.member,
            roster=self.config.roster.values(),
            known=self.members.members.values(),
            listed=(*self.members.listed_addresses(), *self.ping_senders),
        )

    @handler("heartbeat_tick")
    def _on_tick(self):
        now = self.clock()
        if self.leaving_repeats_left:
            self.leaving_repeats_left -= 1
            self._send_leaving()
        if now >= self.next_cleanup:
            self.next_cleanup = now + CLEANUP_INTERVAL
            self.members.remove_expired(now)
            self.ping_senders = {
                address: since
                for address, since in self.ping_senders.items()
                if now - since < PING_SENDER_LIFETIME
            }
        if now >= self.next_peer_update:
            self.next_peer_update = now + PEER_UPDATE_INTERVAL
            self._update_peers()
            self._announce_gone(now)
            self._probe(now)
        pings = self.pinger.tick(
            now,
            addresses=self.peers,
            version=self.config.version,
            interval=self.interval,
        )
        self._send(pings)
        self._announce_targets(now)

    def _update_peers(self):
        addresses = self.addresses()
        if addresses != self.peers:
            self.peers = addresses
            self.fire(peers_changed(addresses), "peer_bus")

    def _probe(self, now):
        """Ping silent roster members while a version waits for them."""
        if not self.waiting:
            return
        watched = self.config.previous_roster | self.config.roster
        silent = self.members.silent_members(now, watched.values())
        addresses = probe_addresses(now, self.member, silent)
        version = self.config.version
        self._send(self.pinger.ping_now(now, addresses=addresses, version=version))

    def _announce_targets(self, now):
        """Fire `members_changed` if the members that may get work changed."""
        targets = tuple(self.members.work_targets(now))
        names = [member.incarnation for member in targets]
        if names != [member.incarnation for member in self.work_targets]:
            logger.info(
                "[members] eligible for new work: %s", ", ".join(names) or "none"
            )
            self.fire(members_changed(targets), "*")
        self.work_targets = targets

    def _announce_gone(self, now):
        """Fire `members_gone` if the roster members that ended changed."""
        watched = self.config.previous_roster | self.config.roster
        gone = frozenset(
            incarnation
            for incarnation, member in watched.items()
            if self.members.is_gone(now, member)
        )
        if gone != self.gone:
            self.gone = gone
            self.fire(members_gone(gone), "*")

    def _send(self, pairs):
        for address, message in pairs:
            self.fire(peer_send(address, message), "peer_bus")

    def _send_leaving(self):
        message = Leaving(
            incarnation=self.member.incarnation, instance=self.member.instance
        )
        self._send((address, message) for address in self.peers)

    @handler("peer_message", channel="peer_bus")
    def _on_peer_message(self, message, source):
        if isinstance(message, Pong):
            report = self.pinger.handle_pong(self.clock(), message)
            if report is not None:
                self.members.handle_report(report)
                self.fire(peer_report(report), "*")
        elif isinstance(message, Ping):
            self._add_ping_sender(message.address)
        elif isinstance(message, Leaving):
            self.members.handle_leaving(message.incarnation)
            self._announce_targets(self.clock())

    def _add_ping_sender(self, address):
        """Add the sender of a ping to the peers to ping.

        An instance that starts while the platform's list cannot be read
        discovers its peers in this way.
        """
        if (
            address not in self.ping_senders
            and len(self.ping_senders) < MAX_PING_SENDERS
        ):
            self.ping_senders[address] = self.clock()
            self._update_peers()

    @handler("config_applied", channel="*")
    def _on_config_applied(self, config):
        self.config = config
        self._update_peers()

    @handler("ping_pace", channel="*")
    def _on_ping_pace(self, fast, waiting):
        self.waiting = waiting
        self.interval = FAST_PING_INTERVAL if fast else PING_INTERVAL

    @handler("instances_listed", channel="*")
    def _on_instances_listed(self, instances):
        self.members.handle_list(self.clock(), instances)
        self._update_peers()

    @handler("member_broadcast", channel="*")
    def _on_peer_broadcast(self, message):
        self._send((address, message) for address in self.peers)
        self._send(
            self.pinger.ping_now(
                self.clock(), addresses=self.peers, version=self.config.version
            )
        )

    @handler("start_leaving", channel="*")
    def _on_start_leaving(self):
        self.pinger.leaving = True
        self.leaving_repeats_left = LEAVING_REPEATS
