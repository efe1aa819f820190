"""What engines run now, beside what the operators want them to run."""

from typing import Literal, NamedTuple

__all__ = [
    "Role",
    "EngineTarget",
    "EngineMark",
    "target_of",
    "mark_engine",
    "accepts_work",
]


Role = Literal["mixed", "prefill", "decode"]


class EngineTarget(NamedTuple):
    """Model, version, adapters and role of an engine."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: Role = "mixed"


class EngineMark(NamedTuple):
    """Progress of an engine towards its target.

    Attributes
    ----------
    revision : int
        Configuration version that last changed the target.
    running : EngineTarget
        What the engine was last known to run. Requests are placed by this,
        since a rollout reaches the engines one after the other.
    draining : bool
        Whether a planned change keeps new work away.
    """

    revision: int
    running: EngineTarget
    draining: bool = False


def target_of(engine):
    """Return the target that an engine's entry states."""
    return EngineTarget(engine.model, engine.version, engine.adapters, engine.role)


def mark_engine(marks, *, engine, old, version):
    """Return the marks after an engine's entry was put.

    Parameters
    ----------
    marks : dict of str to EngineMark
    engine, old : Engine
        The new entry and the one before, or None.
    version : int
        The configuration version that the change makes.

    Notes
    -----
    A new engine counts as running its target until the holder of its group
    has read its state.
    """
    mark = marks.get(engine.name)
    target = target_of(engine)
    if mark is None or old is None or old.address != engine.address:
        mark = EngineMark(revision=version, running=target)
    elif target != target_of(old):
        mark = mark._replace(revision=version)
    return {**marks, engine.name: mark}


def accepts_work(engine, mark):
    """Return whether an engine takes new work for what it runs."""
    return engine.state == "serving" and not mark.draining
