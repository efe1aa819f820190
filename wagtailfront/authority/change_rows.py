"""Rows of engine changes and of the limits that they share."""

from typing import NamedTuple

import msgspec

from wagtailfront.authority.order_rows import Target
from wagtailfront.stores.interfaces import Key

__all__ = [
    "Step",
    "Change",
    "Slots",
    "ChangeLimits",
    "change_key",
    "service_slots_key",
    "needs_weights",
    "WEIGHT_SLOTS_KEY",
]

WEIGHT_SLOTS_KEY = Key("change-slots", "weight-store")


class Step:
    """Names of the steps of a change."""

    DRAINING = "draining"
    ORDERED = "ordered"
    VERIFYING = "verifying"
    DONE = "done"


class Change(msgspec.Struct, frozen=True):
    """Value of a change row.

    Attributes
    ----------
    engine : str
    revision : int
        Version of the configuration that asks for the target.
    target : Target
    step : str
    fencing : int
        Fencing number of the lease under which the row was written.
    """

    engine: str
    revision: int
    target: Target
    step: str
    fencing: int


class Slots(msgspec.Struct, frozen=True):
    """Value of a slots row: the engines that take part of a limit.

    Attributes
    ----------
    engines : dict of str to int
        For each engine the revision of the change that took the slot.
    """

    engines: dict[str, int] = {}

    def without(self, engine):
        """Return the slots without the one of `engine`."""
        return Slots({k: v for k, v in self.engines.items() if k != engine})

    def known(self, revision, engines):
        """Return the slots without those of withdrawn engines.

        A slot that was taken under a newer revision is kept: its engine may
        be new.
        """
        return Slots(
            {k: v for k, v in self.engines.items() if k in engines or v > revision}
        )


class ChangeLimits(NamedTuple):
    """Limits of a service's changes.

    Attributes
    ----------
    service : str
    engines : int
        Engines of the service in all groups.
    min_serving : int
        Engines of the service that must stay unchanged at any time.
    weight_loads : int
        Engines of all services that may load from the weight store at once.

    Examples
    --------
    >>> ChangeLimits("desk-assist", 6, 3).may_change
    3
    """

    service: str
    engines: int
    min_serving: int
    weight_loads: int = 2

    @property
    def may_change(self):
        """Return how many engines may change at once."""
        return self.engines - self.min_serving


def change_key(engine):
    """Return the key of the change row of `engine`."""
    return Key("change", engine)


def service_slots_key(service):
    """Return the key of the row that limits a service's changes.

    The row is shared by the holders of all groups of the service; the table's
    versions serialise them.
    """
    return Key("change-slots", f"service/{service}")


def needs_weights(present, target):
    """Whether a change from `present` to `target` loads from the store."""
    if present is None:
        return True
    return msgspec.structs.replace(present, role=target.role) != target
