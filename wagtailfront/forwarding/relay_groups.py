"""Peers to which an instance sends its own and relayed reports."""

from typing import NamedTuple

__all__ = [
    "MAX_DIRECT_INSTANCES",
    "RelayTargets",
    "newcomer_targets",
    "relay_targets",
]

# Fleets up to this size do not relay: a relay would add delay and save few
# messages.
MAX_DIRECT_INSTANCES = 12


# Members of a group that send what was before to a member that starts; more
# than one, as they may start at the same time.
SENDERS_TO_NEWCOMERS = 2


class RelayTargets(NamedTuple):
    """Peers of one instance, as addresses.

    Attributes
    ----------
    group : tuple of str
        The other members of its group, which get its own reports.
    others : tuple of str
        Members of other groups, which get the reports of its whole group.
    """

    group: tuple = ()
    others: tuple = ()

    @property
    def addresses(self):
        """Return all peers to which the instance sends."""
        return self.group + self.others


def relay_targets(addresses, own):
    """Return the peers to which the instance at `own` sends.

    The number of groups is about the number of members in each. An instance
    sends its reports to its group, and relays the reports of its group to
    one or a few members of each other group. Every report thus reaches every
    instance after at most two hops, and an instance sends to about twice the
    square root of the fleet's size.

    Parameters
    ----------
    addresses : iterable of str
        Addresses of all known instances.
    own : str
        Address of the instance itself.

    Returns
    -------
    RelayTargets

    Examples
    --------
    >>> relay_targets("abc", "a").addresses
    ('b', 'c')
    >>> fleet = [f"10.0.0.{number}:7000" for number in range(100)]
    >>> len(relay_targets(fleet, fleet[0]).addresses)
    18
    """
    members = sorted({*addresses, own})
    if len(members) <= MAX_DIRECT_INSTANCES:
        return RelayTargets(group=tuple(m for m in members if m != own))
    group_count = round(len(members) ** 0.5)
    groups = [members[start::group_count] for start in range(group_count)]
    group = next(group for group in groups if own in group)
    position = group.index(own)
    return RelayTargets(
        group=tuple(member for member in group if member != own),
        others=tuple(
            member
            for other in groups
            if other is not group
            for number, member in enumerate(other)
            if number % len(group) == position
        ),
    )


def newcomer_targets(targets, own):
    """Return the peers to which `own` sends what they missed.

    In a group that relays, these are the members directly before it.

    Examples
    --------
    >>> targets = RelayTargets(group=("a", "c", "d"), others=("e",))
    >>> newcomer_targets(targets, "b")
    ('a', 'd')
    """
    if not targets.others:
        return targets.group
    members = sorted({*targets.group, own})
    position = members.index(own)
    senders = min(SENDERS_TO_NEWCOMERS, len(targets.group))
    return tuple(members[position - step] for step in range(1, senders + 1))
