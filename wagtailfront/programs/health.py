"""Health and metrics pages of an entry instance."""

import msgspec

__all__ = ["Health"]


class Health:
    """Reports liveness, readiness and metrics of an entry instance.

    Parameters
    ----------
    metrics : Metrics
    may_dispatch : callable
        Returns whether the configuration is confirmed now.
    read_config : callable
        Returns the applied configuration.
    components : mapping of str to component
        The instance's current components by name.
    intake : IntakeMemory
    """

    def __init__(self, *, metrics, may_dispatch, read_config, components, intake):
        self.metrics = metrics
        self.may_dispatch = may_dispatch
        self.read_config = read_config
        self.components = components
        self.intake = intake
        self.leaving = False

    def pages(self):
        """Return the pages by path."""
        return {
            "/health/live": self.live,
            "/health/ready": self.ready,
            "/metrics": self.render_metrics,
        }

    def live(self):
        """Return status 200 as long as the event loop runs."""
        return 200, "application/json", b'{"status":"live"}'

    def ready(self):
        """Return status 200 while new requests are accepted, else 503."""
        reason = self.not_ready_reason()
        body = msgspec.json.encode({"ready": reason is None, "reason": reason})
        return (200 if reason is None else 503), "application/json", body

    def not_ready_reason(self):
        """Return why the instance accepts no new requests, or None."""
        if self.leaving:
            return "leaving"
        if not self.read_config().services:
            return "no services configured"
        if not self.may_dispatch():
            return "configuration not confirmed"
        return None

    def render_metrics(self):
        """Return the metrics page."""
        self.metrics.set("config_version", self.read_config().version)
        self.metrics.set("config_confirmed", int(self.may_dispatch()))
        self.metrics.set("intake_bytes", self.intake.total)
        turns = self.components["callers"].server.listener.turns
        self.metrics.set("reads_waiting", len(turns.waiting))
        self._set_component_metrics()
        return 200, "text/plain; version=0.0.4", self.metrics.render()

    def _set_component_metrics(self):
        self.metrics.set("leases_held", len(self.components["groups"].held_groups()))
        bus = self.components["peer_bus"]
        for direction, traffic in (("sent", bus.sent), ("received", bus.received)):
            labels = {"direction": direction}
            self.metrics.set("peer_messages_total", traffic.messages, **labels)
            self.metrics.set("peer_bytes_total", traffic.bytes, **labels)
        for store in ("table", "objects"):
            for result, count in self.components[store].results.items():
                self.metrics.set(
                    "store_requests_total", count, store=store, result=result
                )
