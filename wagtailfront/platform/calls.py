"""HTTP calls that buffer the complete response."""

from wagtailfront.transport.http_client import WholeResponse

__all__ = ["call", "describe_failure"]


def call(pool, reply, *, on_headers=None, **request):
    """Send a request over `pool`.

    Parameters
    ----------
    pool : HttpPool
    reply : callable
        Gets the status and the body, or None and the reason of the failure.
    on_headers : callable, optional
        Gets the status and the headers of a response, by name in any case,
        before `reply`.
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

    sink = WholeResponse(on_done)
    sink.exchange = pool.request(sink=sink, **request)
    return sink.exchange


def describe_failure(status, body):
    """Return why a call failed, from the arguments of its `reply`."""
    return f"status {status}" if status else str(body)
