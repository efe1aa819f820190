"""HTTP requests to one store, and the replies when no response came."""

from collections import Counter

from circuits.core import BaseComponent

from wagtailfront.stores.interfaces import Unavailable, Unknown
from wagtailfront.transport.http_client import HttpPool, WholeResponse

__all__ = ["StoreConnection"]

READ_TIMEOUT = 1.0  # seconds; below the 2.5 s lifetime of a confirmation by a read
WRITE_TIMEOUT = 2.0  # seconds; below the 3 s between two lease renewals
CONNECT_TIMEOUT = 0.5  # seconds


class StoreConnection(BaseComponent):
    """Manages the connections to one store.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    read_timeout, write_timeout : float
        Seconds after which a request without a response fails.
    channel : str
        Channel of the connections.

    Attributes
    ----------
    results : Counter
        Number of replies by the name of their class in lower case.

    Notes
    -----
    Requests are neither repeated nor signed.
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
        """Send a read; without a response the reply is Unavailable.

        Parameters
        ----------
        decode : callable
            Returns the reply from the status, headers and body.
        reply : callable
            Gets the reply.
        request
            method, path, headers and body.
        """

        def on_failure(reason, sent):
            return Unavailable(reason=reason)

        self._send(decode, on_failure, reply, self.read_timeout, request)

    def write(self, *, decode, reply, **request):
        """Send a write; parameters as for `read`.

        Without a response the reply is Unknown if a byte was sent, and
        Unavailable if none was.
        """

        def on_failure(reason, sent):
            return Unknown(reason=reason) if sent else Unavailable(reason=reason)

        self._send(decode, on_failure, reply, self.write_timeout, request)

    def _send(self, decode, on_failure, reply, timeout, request):
        def on_done(status, headers_or_reason, body_or_sent):
            convert = on_failure if status is None else decode
            arguments = (headers_or_reason, body_or_sent)
            result = convert(*(arguments if status is None else (status, *arguments)))
            # A page of a query is decoded to its rows and the next position.
            kind = type(result[0] if isinstance(result, tuple) else result)
            self.results[kind.__name__.lower()] += 1
            reply(result)

        host, port = self.address
        sink = WholeResponse(on_done)
        sink.exchange = self.pool.request(
            host=host, port=port, sink=sink, timeout=timeout, **request
        )
