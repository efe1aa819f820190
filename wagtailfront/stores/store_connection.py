"""Requests to one store over HTTP, and the meaning of a missing answer."""

from collections import Counter

from circuits.core import BaseComponent

from wagtailfront.stores.interfaces import Unavailable, Unknown
from wagtailfront.transport.http_client import HttpPool, WholeResponse

__all__ = ["StoreConnection"]

READ_TIMEOUT = 1.0  # seconds; below the 2.5 s for which a head read confirms
WRITE_TIMEOUT = 2.0  # seconds; below the 3 s between two lease renewals
CONNECT_TIMEOUT = 0.5  # seconds


class StoreConnection(BaseComponent):
    """Owner of the connections to one store.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    read_timeout, write_timeout : float
        Seconds from the request to the reply.
    channel : str
        Channel of the connections.

    Notes
    -----
    Nothing is repeated here, and requests carry no signature.
    """

    channel = "store"

    def __init__(
        self,
        *,
        address,
        read_timeout=READ_TIMEOUT,
        write_timeout=WRITE_TIMEOUT,
        channel=channel,
    ):
        super().__init__(channel=channel)
        self.address = address
        self.results = Counter()
        self.read_timeout = read_timeout
        self.write_timeout = write_timeout
        self.pool = HttpPool(channel=channel, connect_timeout=CONNECT_TIMEOUT)
        self.pool.register(self)

    def read(self, *, decode, reply, **request):
        """Send a read; without an answer the reply is Unavailable.

        Parameters
        ----------
        decode : callable
            Takes status, headers and body and returns the reply.
        reply : callable
        request
            method, path, headers and body.
        """

        def on_failure(reason, sent):
            return Unavailable(reason=reason)

        self._send(decode, on_failure, reply, self.read_timeout, request)

    def write(self, *, decode, reply, **request):
        """Send a write; without an answer the reply is Unknown once a byte
        was sent, and Unavailable before.
        """

        def on_failure(reason, sent):
            return Unknown(reason=reason) if sent else Unavailable(reason=reason)

        self._send(decode, on_failure, reply, self.write_timeout, request)

    def _send(self, decode, on_failure, reply, timeout, request):
        def on_done(status, headers_or_reason, body_or_sent):
            convert = on_failure if status is None else decode
            arguments = (headers_or_reason, body_or_sent)
            result = convert(*(arguments if status is None else (status, *arguments)))
            # A page of a query is decoded to a pair of rows and position.
            kind = type(result[0] if isinstance(result, tuple) else result)
            self.results[kind.__name__.lower()] += 1
            reply(result)

        host, port = self.address
        sink = WholeResponse(on_done)
        sink.exchange = self.pool.request(
            host=host, port=port, sink=sink, timeout=timeout, **request
        )
