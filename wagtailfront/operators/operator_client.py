"""Blocking client for operators' calls, used by the command line."""

import http.client
import json

from google.protobuf.message import DecodeError

from wagtailfront.exception import WagtailfrontError
from wagtailfront.identifiers import new_id
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.calls import CHANGE_CALLS
from wagtailfront.operators.connect import PROTO

__all__ = ["OperatorClient", "OperatorError"]

CALL_TIMEOUT = 12.0  # seconds; the outcome of a change takes up to 7 s
MAX_REPLY = 64 * 1024 * 1024  # bytes
PATH = "/wagtailfront.v1.Operators/"
READ_CALLS = {
    "GetStatus": pb.StatusReply,
    "GetBurn": pb.BurnReply,
}


class OperatorError(WagtailfrontError):
    """A call failed.

    Attributes
    ----------
    code : str
        Error code of the Connect protocol.
    """

    def __init__(self, code, message):
        super().__init__(f"{code}: {message}")
        self.code = code


class OperatorClient:
    """Sends calls to one or all of several instances.

    Parameters
    ----------
    addresses : sequence of (str, int)
        `call` tries them in order until one responds.
    token : str
    timeout : float
        Seconds for one call to one instance.
    context : ssl.SSLContext, optional
        Connections use TLS if it is given.

    Notes
    -----
    A change without a response is retried at the next instance with the
    same change id, so that it is committed at most once.
    """

    def __init__(self, *, addresses, token, timeout=CALL_TIMEOUT, context=None):
        self.addresses = list(addresses)
        self.token = token
        self.timeout = timeout
        self.context = context

    def call(self, method, request):
        """Return the reply message of a call.

        Raises
        ------
        OperatorError
        """
        if method in CHANGE_CALLS and not request.header.change_id:
            request.header.change_id = new_id()
        failures = []
        for address in self.addresses:
            try:
                return self._call_instance(address, method, request)
            except (OSError, http.client.HTTPException) as error:
                failures.append(f"{address[0]}:{address[1]}: {error}")
            except OperatorError as error:
                if error.code != "unavailable":
                    raise
                failures.append(f"{address[0]}:{address[1]}: {error}")
        raise OperatorError(
            "unavailable", "; ".join(failures) or "no instance address given"
        )

    def call_each(self, method, request):
        """Call all instances; return replies and failures by address."""
        replies, failures = {}, {}
        for address in self.addresses:
            try:
                replies[address] = self._call_instance(address, method, request)
            except (OSError, http.client.HTTPException, OperatorError) as error:
                failures[address] = str(error)
        return replies, failures

    def _call_instance(self, address, method, request):
        host, port = address
        options = {"timeout": self.timeout}
        if self.context is None:
            connection = http.client.HTTPConnection(host, port, **options)
        else:
            connection = http.client.HTTPSConnection(
                host, port, context=self.context, **options
            )
        headers = {
            "Content-Type": PROTO,
            "Connect-Protocol-Version": "1",
            "Authorization": f"Bearer {self.token}",
        }
        try:
            connection.request(
                "POST", PATH + method, request.SerializeToString(), headers
            )
            response = connection.getresponse()
            body = response.read(MAX_REPLY)
        finally:
            connection.close()
        return _decode(response, body, READ_CALLS.get(method, pb.ChangeReply))


def _decode(response, body, reply_type):
    if response.status == 200:
        reply = reply_type()
        try:
            reply.ParseFromString(body)
        except DecodeError as error:
            raise OperatorError("internal", f"cannot decode the reply: {error}")
        return reply
    try:
        error = json.loads(body)
        code, message = str(error["code"]), str(error["message"])
    except (ValueError, KeyError, TypeError):
        code, message = "unknown", f"HTTP status {response.status}"
    raise OperatorError(code, message)
