"""Object store client over HTTP."""

from wagtailfront.stores import object_codec
from wagtailfront.stores.store_connection import StoreConnection

__all__ = ["ObjectClient"]


class ObjectClient(StoreConnection):
    """ObjectStore that speaks S3's REST protocol.

    Parameters
    ----------
    bucket : str
    options
        See StoreConnection.
    """

    channel = "object_client"

    def __init__(self, *, bucket="wagtailfront", channel=channel, **options):
        super().__init__(channel=channel, **options)
        self.bucket = bucket

    def get(self, *, name, reply):
        """Read an object: Found, Missing or Unavailable."""

        def decode(status, headers, body):
            return object_codec.decode_get(status, headers, body, name=name)

        path = object_codec.object_path(self.bucket, name)
        self.read(decode=decode, reply=reply, method="GET", path=path)

    def put(self, *, name, data, reply, if_absent=False):
        """Write an object: Committed, Unknown or Unavailable.

        With `if_absent` an existing object is not overwritten and the reply
        is ConditionFailed.
        """

        def decode(status, headers, body):
            return object_codec.decode_put(status, headers, body, data=data)

        self.write(
            decode=decode,
            reply=reply,
            method="PUT",
            path=object_codec.object_path(self.bucket, name),
            headers=object_codec.put_headers(if_absent=if_absent),
            body=data,
        )
