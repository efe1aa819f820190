"""What engines run now, as opposed to the targets set by operators."""

from typing import Literal, NamedTuple

__all__ = [
    "Role",
    "EngineTarget",
    "EngineMark",
    "target_of",
    "marks_after_put",
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
        Whether the engine gets no new work during a planned change.
    """

    revision: int
    running: EngineTarget
    draining: bool = False


def target_of(engine):
    """Return the target in an engine's entry."""
    return EngineTarget(engine.model, engine.version, engine.adapters, engine.role)


def marks_after_put(marks, *, engine, old, version):
    """Return the marks after an engine was added or replaced.

    Parameters
    ----------
    marks : dict of str to EngineMark
    engine, old : Engine
        The new entry and the previous one, or None.
    version : int
        The configuration version that the change makes.

    Notes
    -----
    A new engine counts as running its target until the holder of its group's
    lease has read its state.
    """
    mark = marks.get(engine.name)
    target = target_of(engine)
    if mark is None or old is None or old.address != engine.address:
        mark = EngineMark(revision=version, running=target)
    elif target != target_of(old):
        mark = mark._replace(revision=version)
    return {**marks, engine.name: mark}


def accepts_work(engine, mark):
    """Return whether an engine accepts new work."""
    return engine.state == "serving" and not mark.draining
