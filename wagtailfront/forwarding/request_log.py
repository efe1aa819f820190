"""Log of the decisions on one request."""

__all__ = ["RequestLog"]


class RequestLog:
    """Logs the decisions on one request with its inputs.

    Parameters
    ----------
    context : ForwardContext
    request_id : str
    route : Route
    config_version : int
    received : float
        When the request arrived.
    """

    def __init__(self, *, context, request_id, route, config_version, received):
        self.context = context
        self.request_id = request_id
        self.route = route
        self.config_version = config_version
        self.received = received

    def input_ages(self):
        """Return the configuration version and registry age."""
        read_at = self.context.directory.read_at
        age = None if read_at is None else round(self.context.clock() - read_at, 3)
        return {"config": self.config_version, "registry_age": age}

    def decision(self, kind, outcome, **inputs):
        """Log a decision on the request with its inputs."""
        self.context.log.decision(
            kind,
            request=self.request_id,
            outcome=outcome,
            route=self.route.name,
            age=round(self.context.clock() - self.received, 4),
            **inputs,
        )
