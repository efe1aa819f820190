"""Draining marks of engines, set by changes of the configuration."""

from wagtailfront.authority import config_effects as effects
from wagtailfront.authority.config_state import MarkEngine
from wagtailfront.authority.engine_marks import EngineMark, target_of

__all__ = ["DrainMarks"]


class DrainMarks:
    """Implements `authority.change_runner.DrainMarks`.

    Parameters
    ----------
    replica : ConfigReplica
        Supplies the applied configuration and which version is in effect.
    propose : callable
        Commits a change; see `ConfigManager.propose`.
    author : str
    """

    def __init__(self, *, replica, propose, author):
        self.replica = replica
        self.propose = propose
        self.author = author

    def mark_draining(self, *, engine, revision, draining, reply):
        """Set or clear a mark; clearing it records what the engine runs."""
        config = self.replica.config
        entry, mark = config.engines.get(engine), config.engine_marks.get(engine)
        if entry is None or mark.revision > revision:
            reply(False)
            return
        running = mark.running if draining else target_of(entry)
        if mark == EngineMark(revision, running, draining):
            reply(self.replica.freshness.in_effect(config.version))
            return
        self.propose(
            change=MarkEngine(
                name=engine,
                revision=revision,
                draining=draining,
                running=None if draining else running,
            ),
            base_version=config.version,
            author=self.author,
            reply=lambda outcome: reply(isinstance(outcome, effects.Accepted)),
        )
