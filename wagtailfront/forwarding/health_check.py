"""Question to an endpoint whether it answers at all."""

from wagtailfront.transport.framing import encode_head

__all__ = ["ask_health"]

TIMEOUT = 1.0  # seconds


class _IgnoredResponse:
    """Sink of a response whose arrival alone matters."""

    def on_head(self, status, headers):
        return True

    def on_data(self, data):
        pass

    def on_end(self):
        pass

    def on_failure(self, reason, sent):
        pass


def ask_health(pool, record, *, path, timers):
    """Send an endpoint a health check; the pool's observer gets the result.

    Parameters
    ----------
    pool : EndpointPool
    record : EndpointRecord
    path : str
        Path of the service's health check.
    timers : Timers
    """
    headers = [(b"Host", record.address.encode())]
    request = encode_head(b"GET %b HTTP/1.1" % path.encode(), headers)
    exchange = pool.send(record, request, sink=_IgnoredResponse())
    timers.after(TIMEOUT, exchange.cancel)
