"""Identifiers of requests, attempts, changes and orders."""

import secrets

__all__ = ["new_id", "attempt_id", "split_attempt_id"]

ID_BYTES = 8


def new_id():
    """Return a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(ID_BYTES)


def attempt_id(request_id, attempt):
    """Return the identifier of one attempt at a request.

    Parameters
    ----------
    request_id : str
    attempt : int
        Number of the attempt, from 1.

    Examples
    --------
    >>> attempt_id("9f", 2)
    '9f.2'
    """
    return f"{request_id}.{attempt}"


def split_attempt_id(value):
    """Return the request identifier and the attempt number of `value`.

    Raises
    ------
    ValueError
        If `value` is not of the form that `attempt_id` returns.

    Examples
    --------
    >>> split_attempt_id("9f.2")
    ('9f', 2)
    """
    request_id, separator, attempt = value.rpartition(".")
    if not separator:
        raise ValueError(f"attempt identifier {value!r} has no attempt number")
    return request_id, int(attempt)
