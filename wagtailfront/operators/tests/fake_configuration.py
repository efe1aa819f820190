"""In-memory configuration for tests of the operators' calls."""

from wagtailfront.authority import config_effects as effects, config_state as state
from wagtailfront.exception import ConfigurationError
from wagtailfront.operators.operator_server import EndpointStatus, InstanceStatus

__all__ = ["FakeConfiguration"]


class FakeConfiguration:
    """Applies changes immediately, or replies with a preset outcome.

    Attributes
    ----------
    outcome : object or None
        Outcome of every proposal; None applies the change.
    delayed_replies : list or None
        If a list, reply callbacks are added to it instead of being called.
    """

    def __init__(self):
        self.config = state.EMPTY
        self.proposals = []
        self.outcome = None
        self.delayed_replies = None

    def propose(self, *, change, base_version, change_id, author, reply):
        """Handle a proposal of `OperatorServer`."""
        self.proposals.append((change, base_version, change_id, author))
        if self.delayed_replies is not None:
            self.delayed_replies.append(reply)
            return
        if self.outcome is not None:
            reply(self.outcome)
            return
        try:
            self.config = state.apply_change(self.config, change)
        except ConfigurationError as error:
            reply(effects.Invalid(reason=str(error)))
        else:
            reply(effects.Accepted(version=self.config.version))

    def read_status(self):
        """Return the status of an instance that has applied all changes."""
        return InstanceStatus(
            instance="i1",
            data_centre="brum",
            confirmed=True,
            configuration=self.config,
            endpoints=(EndpointStatus(name="e1", running=2, report_age=0.5),),
        )
