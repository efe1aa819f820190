"""Error responses for callers."""

import msgspec

from wagtailfront.outcome import Failed, Refused, Verdict

__all__ = ["ErrorResponse", "from_outcome", "from_invalid"]

STATUS = {
    "rate_limited": 429,
    "overloaded": 429,
    "deadline": 429,
    "idempotency_key_reused": 422,
    "outcome_unknown": 409,
    "answer_not_kept": 409,
    "not_found": 404,
    "crashing_request": 422,
    "timeout": 504,
    "incomplete": 502,
}


class ErrorResponse:
    """Status, headers and body of an error."""

    def __init__(self, *, status, message, type, code, verdict, retry_after=None):
        self.status = status
        self.headers = [("X-Verdict", verdict.value)]
        if retry_after is not None:
            self.headers.append(("Retry-After", str(max(1, round(retry_after)))))
        self.fields = {
            "message": message,
            "type": type,
            "code": code,
            "verdict": verdict.value,
        }
        self.body = msgspec.json.encode({"error": self.fields})


def from_outcome(outcome):
    """Return the error response for a `Refused` or `Failed` outcome.

    Raises
    ------
    TypeError
        If `outcome` is of another type.

    Examples
    --------
    >>> outcome = Refused(reason="full", code="overloaded", retry_after=2.0)
    >>> from_outcome(outcome).status
    429
    """
    if isinstance(outcome, Refused):
        status = STATUS.get(outcome.code, 503)
        return ErrorResponse(
            status=status,
            message=outcome.reason,
            type="rate_limit_error" if status == 429 else "service_unavailable",
            code=outcome.code,
            verdict=outcome.verdict,
            retry_after=outcome.retry_after,
        )
    if isinstance(outcome, Failed):
        return ErrorResponse(
            status=STATUS.get(outcome.code, 502),
            message=outcome.reason,
            type="upstream_error",
            code=outcome.code,
            verdict=outcome.verdict,
        )
    raise TypeError(f"no error response for {type(outcome).__name__}")


def from_invalid(error):
    """Return the error response for an `InvalidRequest`."""
    return ErrorResponse(
        status=error.status,
        message=error.message,
        type="invalid_request_error",
        code=error.code,
        verdict=Verdict.NOT_RUN,
    )
