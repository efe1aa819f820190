"""Server for requests that peers cannot send to endpoints themselves."""

from wagtailfront.forwarding.proxy_headers import read_instructions
from wagtailfront.serving.connection_server import ConnectionServer

__all__ = ["PeerRequests", "ProxyServer"]

HEAD_MARGIN = 2048  # bytes of the headers that a peer adds to its caller's
BAD_REQUEST = 400


class _PeerLimits:
    """Limits in force for requests of peers, which add headers."""

    def __init__(self, *, limits):
        self.limits = limits

    def at(self, now):
        limits = self.limits.at(now)
        return limits._replace(max_head=limits.max_head + HEAD_MARGIN)


class PeerRequests:
    """Forwarder of the requests of peers, which are not sent to others."""

    def __init__(self, *, forwarder):
        self.forwarder = forwarder
        self.context = forwarder.context
        self.limits = _PeerLimits(limits=forwarder.limits)
        self.refusal = forwarder.refusal
        self.request_id = forwarder.request_id
        self.log_fields = forwarder.log_fields

    def accept(self, request, reply):
        """Start a peer's request; return its task, or None."""
        try:
            instructions = read_instructions(request.headers)
        except ValueError as error:
            self.context.log.decision(
                "rejected", outcome=str(error), status=BAD_REQUEST
            )
            reply.answer(BAD_REQUEST, [], b"")
            return None
        return self.forwarder.accept(request, reply, instructions)


class ProxyServer(ConnectionServer):
    """Accepts requests of peers that reach no endpoint of a service.

    Parameters
    ----------
    forwarder : Forwarder
    **options
        As of a ConnectionServer.
    """

    def __init__(self, *, forwarder, channel="proxy_server", **options):
        super().__init__(
            application=PeerRequests(forwarder=forwarder), channel=channel, **options
        )

    def _keeps_half_closed(self, sock):
        # A peer that ends its sending side has abandoned the request.
        return False
