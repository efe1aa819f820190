"""HTTP calls that buffer the complete response."""

from wagtailfront.transport.http_client import WholeResponse

__all__ = ["call", "describe_failure", "make_write_handler"]


class _BoundedResponse(WholeResponse):
    """Sink that does not read a body which is announced as too long."""

    def on_head(self, status, headers):
        super().on_head(status, headers)
        length = headers.get("content-length", "")
        if self.exchange is None or not length.isdigit():
            return
        if int(length) > self.max_body:
            self.exchange.cancel()
            self.on_done(status, headers, None)


def call(pool, reply, *, on_headers=None, max_body=None, **request):
    """Send a request over `pool`.

    Parameters
    ----------
    pool : HttpPool
    reply : callable
        Gets the status and the body, or None and the reason of the failure.
    on_headers : callable, optional
        Gets the status and the headers of a response, by name in any case,
        before `reply`.
    max_body : int, optional
        Bytes of the longest body to read. `reply` gets None in place of one
        whose length is announced as larger.
    request
        Further arguments of `HttpPool.request`.

    Returns
    -------
    Exchange
        The call, which may be cancelled; `reply` is then not called.
    """

    def on_done(status, headers, body):
        if status is None:
            reply(None, headers)  # the reason of the failure
            return
        if on_headers is not None:
            on_headers(status, headers)
        reply(status, body)

    sink = (
        WholeResponse(on_done)
        if max_body is None
        else _BoundedResponse(on_done, max_body=max_body)
    )
    sink.exchange = pool.request(sink=sink, **request)
    return sink.exchange


def describe_failure(status, body):
    """Return why a call failed, from the arguments of its `reply`."""
    return f"status {status}" if status else str(body)


def make_write_handler(reply, log, kind, **inputs):
    """Return the handler of a write's response, which logs a failure.

    Parameters
    ----------
    reply : callable
        Gets whether the write took effect.
    log : DecisionLog
    kind : str
        Of the line in the log.
    **inputs
        Further fields of that line.
    """

    def on_response(status, body):
        if status != 200:
            reason = describe_failure(status, body)
            log.decision(kind, outcome="not written", **inputs, reason=reason)
        reply(status == 200)

    return on_response
