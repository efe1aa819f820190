"""Which peers an instance tells directly, and to which it relays."""

from typing import NamedTuple

__all__ = ["MAX_DIRECT_INSTANCES", "RelayTargets", "relay_targets"]

# Fleets up to this size are told directly: a relay would add its delay and
# save few messages.
MAX_DIRECT_INSTANCES = 12


class RelayTargets(NamedTuple):
    """Peers of one instance, as addresses.

    Attributes
    ----------
    group : tuple of str
        The other members of its group, which get its own digests.
    others : tuple of str
        Members of other groups, which get the digests of its whole group.
    """

    group: tuple = ()
    others: tuple = ()

    @property
    def addresses(self):
        """Return all peers that are sent to."""
        return self.group + self.others


def relay_targets(addresses, own):
    """Return the peers to which the instance at `own` sends.

    Instances form about as many groups as each has members. An instance
    tells its group, and relays what its group told to one member, or a few,
    of each other group. So every instance hears of every other one after two
    messages at most and sends to about twice the square root of the fleet.

    Parameters
    ----------
    addresses : iterable of str
        All known instances.
    own : str

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
    place = group.index(own)
    return RelayTargets(
        group=tuple(member for member in group if member != own),
        others=tuple(
            member
            for other in groups
            if other is not group
            for number, member in enumerate(other)
            if number % len(group) == place
        ),
    )
