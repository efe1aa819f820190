"""Pings between instances, and the choice of the peers to ping."""

from typing import NamedTuple

import xxhash

from wagtailfront.membership.messages import MAX_NUMBER, Ping, Pong, Relay

__all__ = [
    "PING_INTERVAL",
    "FAST_PING_INTERVAL",
    "PINGED_PEERS",
    "PeerReport",
    "Pinger",
    "answer_ping",
    "choose_peers",
    "ping_addresses",
    "probe_addresses",
]

# Seconds between pings to one peer while the table is available.
PING_INTERVAL = 2.5
# Seconds while it is not, or while a version waits for acknowledgements.
FAST_PING_INTERVAL = 0.5
# Peers that an instance pings in a large fleet, and the number of other data
# centres in which it pings at least one.
PINGED_PEERS = 8
MIN_OTHER_DATA_CENTRES = 4
# Seconds after which the pong to a ping is ignored.
NONCE_LIFETIME = 30.0


class PeerReport(NamedTuple):
    """State of a peer as of its answer to a ping.

    Attributes
    ----------
    sent_at : float
        When the ping was sent, in seconds of this instance's clock; the
        report was made at some later time.
    relays : tuple of Relay
        Roster members that had reported the peer's version to it.
    """

    incarnation: str
    instance: str
    address: str
    data_centre: str
    version: int
    leaving: bool
    sent_at: float
    relays: tuple = ()


class Pinger:
    """Makes pings and matches each pong with the send time of its ping.

    Parameters
    ----------
    member : RosterMember
        This instance.
    random : random.Random
        Draws the first nonce, so that a pong to a ping of an earlier
        incarnation matches none of this one's.
    """

    def __init__(self, *, member, random):
        self.member = member
        self.leaving = False
        self.next_nonce = random.randrange(MAX_NUMBER // 2)
        self.sent = {}
        self.last_ping = {}

    def age_start(self, sent_at, now):
        """Return the time from which the age of a report is counted.

        The peer answers after the ping was sent, so a report never counts as
        newer than it is.
        """
        return sent_at

    def tick(self, now, *, addresses, version, interval=PING_INTERVAL):
        """Return the pings that are due as (address, Ping) pairs."""
        due = [
            address
            for address in addresses
            if now >= self.last_ping.get(address, now - interval) + interval
        ]
        self.last_ping = {
            address: when
            for address, when in self.last_ping.items()
            if address in addresses
        }
        self._forget_old_pings(now)
        return self.ping_now(now, addresses=due, version=version)

    def _forget_old_pings(self, now):
        """Remove pings older than `NONCE_LIFETIME`, the oldest first."""
        while self.sent:
            nonce, (_, sent_at) = next(iter(self.sent.items()))
            if now - sent_at < NONCE_LIFETIME:
                return
            del self.sent[nonce]

    def ping_now(self, now, *, addresses, version):
        """Return pings to all of `addresses`, due or not."""
        return [
            (address, self._make_ping(now, address, version)) for address in addresses
        ]

    def _make_ping(self, now, address, version):
        self.next_nonce += 1
        self.sent[self.next_nonce] = (address, now)
        self.last_ping[address] = now
        return Ping(
            nonce=self.next_nonce,
            **self.member._asdict(),
            version=version,
            leaving=self.leaving,
        )

    def handle_pong(self, now, pong):
        """Return the `PeerReport` in a pong, or None if it matches no ping.

        A nonce remains valid after its pong: a duplicate of the pong is
        harmless, as its age still counts from the sending of the ping.
        """
        address, sent_at = self.sent.get(pong.nonce, (None, None))
        if address is None or pong.incarnation == self.member.incarnation:
            return None
        return PeerReport(
            incarnation=pong.incarnation,
            instance=pong.instance,
            address=address,
            data_centre=pong.data_centre,
            version=pong.version,
            leaving=pong.leaving,
            sent_at=self.age_start(sent_at, now),
            relays=pong.relays,
        )


def answer_ping(member, ping, *, version, leaving=False, relays=()):
    """Return the pong of `member` to a peer's ping.

    `version` must be the version applied now. An older one would break the
    acknowledgement that an earlier pong gave.
    """
    return Pong(
        nonce=ping.nonce,
        **member._asdict(),
        version=version,
        leaving=leaving,
        relays=tuple(Relay(age, members) for age, members in relays),
    )


def choose_peers(member, members, *, count=PINGED_PEERS):
    """Return the members that `member` pings.

    Parameters
    ----------
    member : RosterMember
    members : iterable of RosterMember or Member
        May contain `member`; of several with one address, the last is used.
    count : int
        Most members to choose; if there are no more others, all are returned.

    Returns
    -------
    list of RosterMember
        Chosen by rendezvous hashing, at least one in each of four other
        data centres if there are that many.

    Notes
    -----
    The first choice is the member with the next higher address. This makes a
    ring, so that pings connect the whole fleet whatever the hashes are.
    """
    by_address = {other.address: other for other in members}
    by_address.pop(member.address, None)
    others = [other for _, other in sorted(by_address.items())]
    if len(others) <= count:
        return others
    ranked = sorted(
        others,
        key=lambda other: xxhash.xxh3_64_intdigest(
            f"{member.address} {other.address}".encode()
        ),
    )
    after = [other for other in others if other.address > member.address]
    chosen = [(after or others)[0]]
    centres = {}
    for other in ranked:
        if other.data_centre != member.data_centre:
            centres.setdefault(other.data_centre, other)
    for other in (*list(centres.values())[:MIN_OTHER_DATA_CENTRES], *ranked):
        if other not in chosen and len(chosen) < count:
            chosen.append(other)
    return chosen


def ping_addresses(member, *, roster, known, listed, count=PINGED_PEERS):
    """Return the addresses that `member` pings, in ascending order.

    Parameters
    ----------
    member : RosterMember
    roster, known : iterable of RosterMember or Member
    listed : iterable of str
        Addresses on the platform's list, which are used only while fewer
        than `count` members are known.
    """
    chosen = {
        peer.address for peer in choose_peers(member, (*roster, *known), count=count)
    }
    if len(chosen) < count:
        chosen |= set(listed)
    return sorted(chosen - {member.address})


def probe_addresses(now, member, silent, *, count=PINGED_PEERS):
    """Return addresses of silent roster members to ping once, in rotation.

    In a large fleet an instance pings few peers. If many members were
    restarted at once, it would otherwise not learn that the incarnations of
    the others have ended, and no version could come into effect.

    Parameters
    ----------
    now : float
        Seconds; each second selects the next `count` addresses.
    silent : iterable of RosterMember
    """
    addresses = sorted({other.address for other in silent} - {member.address})
    start = int(now) * count % max(1, len(addresses))
    return (addresses[start:] + addresses[:start])[:count]
