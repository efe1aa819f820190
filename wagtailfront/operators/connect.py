"""Encoding and decoding of unary Connect calls; does no I/O."""

import json
from typing import NamedTuple

from google.protobuf import json_format
from google.protobuf.message import DecodeError

__all__ = [
    "ConnectError",
    "CallResponse",
    "decode_call",
    "encode_response",
    "encode_error",
]

# HTTP status codes that the protocol assigns to its error codes.
STATUS = {
    "canceled": 499,
    "unknown": 500,
    "invalid_argument": 400,
    "deadline_exceeded": 504,
    "not_found": 404,
    "already_exists": 409,
    "permission_denied": 403,
    "resource_exhausted": 429,
    "failed_precondition": 400,
    "aborted": 409,
    "out_of_range": 400,
    "unimplemented": 501,
    "internal": 500,
    "unavailable": 503,
    "data_loss": 500,
    "unauthenticated": 401,
}
JSON = "application/json"
PROTO = "application/proto"
PROTOCOL_VERSION = "1"
MAX_MESSAGE = 1024 * 1024  # bytes; larger calls are rejected


class ConnectError(Exception):
    """An error response of the protocol.

    Parameters
    ----------
    code : str
        One of the protocol's error codes.
    message : str
        Text for the operator.
    status : int, optional
        HTTP status code, if it differs from the default of the code.
    """

    def __init__(self, code, message, *, status=None):
        super().__init__(message)
        self.code = code
        self.status = status or STATUS[code]


class CallResponse(NamedTuple):
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


def decode_call(headers, body, message_type):
    """Return the request message of a call and its content type.

    Parameters
    ----------
    headers : mapping of str to str
        Either its `get` ignores case, or its names are in lower case.
    body : bytes
    message_type : type
        Class of the request message.

    Returns
    -------
    message
    content_type : str

    Raises
    ------
    ConnectError
    """
    content_type = headers.get("content-type", "").partition(";")[0].strip().lower()
    if content_type not in (JSON, PROTO):
        text = f"use Content-Type {PROTO} or {JSON}"
        raise ConnectError("invalid_argument", text, status=415)
    version = headers.get("connect-protocol-version", PROTOCOL_VERSION)
    if version != PROTOCOL_VERSION:
        raise ConnectError("invalid_argument", "Connect-Protocol-Version must be 1")
    if headers.get("content-encoding", "identity") != "identity":
        raise ConnectError("unimplemented", "compressed requests are not supported")
    if len(body) > MAX_MESSAGE:
        text = f"message has {len(body)} bytes, at most {MAX_MESSAGE} are allowed"
        raise ConnectError("resource_exhausted", text)
    message = message_type()
    try:
        if content_type == PROTO:
            message.ParseFromString(body)
        else:
            json_format.Parse(body.decode(), message)
    except (DecodeError, json_format.ParseError, ValueError, RecursionError) as error:
        text = f"body is not a valid {message_type.DESCRIPTOR.name}: {error}"
        raise ConnectError("invalid_argument", text)
    return message, content_type


def encode_response(message, content_type):
    """Return the response to a successful call."""
    if content_type == PROTO:
        body = message.SerializeToString()
    else:
        body = json_format.MessageToJson(message, indent=None).encode()
    return CallResponse(200, {"Content-Type": content_type}, body)


def encode_error(error):
    """Return the response to a failed call.

    Examples
    --------
    >>> encode_error(ConnectError("not_found", "no such engine")).status
    404
    """
    body = json.dumps({"code": error.code, "message": str(error)}).encode()
    return CallResponse(error.status, {"Content-Type": JSON}, body)
