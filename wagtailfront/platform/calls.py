"""HTTP calls that buffer the complete response."""

from wagtailfront.transport.http_client import WholeResponse

__all__ = ["call", "describe_failure"]


def call(pool, reply, **request):
    """Send a request over `pool`.

    Parameters
    ----------
    pool : HttpPool
    reply : callable
        Gets the status and the body, or None and the reason of the failure.
    request
        Further arguments of `HttpPool.request`.
    """
    sink = WholeResponse(
        lambda status, headers, body: reply(status, headers if status is None else body)
    )
    sink.exchange = pool.request(sink=sink, **request)


def describe_failure(status, body):
    """Return why a call failed, from the arguments of its `reply`."""
    return f"status {status}" if status else str(body)
