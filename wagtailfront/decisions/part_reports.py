"""Reports on prompt parts between instances."""

import msgspec

__all__ = ["PartCrash", "PartReport", "PartTime"]


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """An attempt whose engine crashed before the answer began.

    Attributes
    ----------
    parts : tuple of str
        Parts of the prompt that may be the cause, in order.
    engine : str
        Incarnation of the engine.
    sent_age, age : float
        Seconds since the attempt was sent, and since the crash.
    """

    parts: tuple[str, ...]
    engine: str
    sent_age: float
    age: float


class PartTime(msgspec.Struct, frozen=True, array_like=True):
    """A part or an engine, and the seconds since something was true of it."""

    name: str
    age: float


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """What an instance has to say about parts.

    Attributes
    ----------
    crashes : tuple of PartCrash
    answered : tuple of PartTime
        Suspected parts that engines have answered.
    alive : tuple of PartTime
        Engines that answered after they were taken for crashed.
    refused : tuple of PartTime
        Parts that are refused.
    """

    crashes: tuple[PartCrash, ...] = ()
    answered: tuple[PartTime, ...] = ()
    alive: tuple[PartTime, ...] = ()
    refused: tuple[PartTime, ...] = ()
