"""Table rows of engine changes and of the limits shared by them."""

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
    """Steps of a change, in their order."""

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
        Version of the configuration that set the target.
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
    """Value of a slots row: the engines that count towards a limit.

    Attributes
    ----------
    engines : dict of str to int
        For each engine the revision of the change that acquired the slot.
    """

    engines: dict[str, int] = {}

    def without(self, engine):
        """Return the slots without that of `engine`."""
        return Slots({k: v for k, v in self.engines.items() if k != engine})

    def without_withdrawn(self, revision, engines):
        """Return the slots without those of withdrawn engines.

        `engines` are those of version `revision` of the configuration. A slot
        acquired under a newer revision stays: its engine may have been added
        since.
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
        Engines of the service that must not be in a change at any time.
    weight_loads : int
        Engines of all services that may load from the weight store at the
        same time.

    Examples
    --------
    >>> ChangeLimits("desk-assist", 6, 3).max_concurrent_changes
    3
    """

    service: str
    engines: int
    min_serving: int
    weight_loads: int = 2

    @property
    def max_concurrent_changes(self):
        """Return how many engines may be in a change at the same time."""
        return self.engines - self.min_serving


def change_key(engine):
    """Return the key of the change row of `engine`."""
    return Key("change", engine)


def service_slots_key(service):
    """Return the key of the row that limits a service's changes.

    The lease holders of all groups of the service share the row; its version
    serialises their writes.
    """
    return Key("change-slots", f"service/{service}")


def needs_weights(present, target):
    """Whether a change from `present` to `target` loads from the weight store.

    A change of the role alone does not.
    """
    if present is None:
        return True
    return msgspec.structs.replace(present, role=target.role) != target
