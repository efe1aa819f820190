"""Outstanding requests to the stores."""

from wagtailfront.authority import config_effects as effects
from wagtailfront.stores import interfaces as store

__all__ = ["REQUEST_TIMEOUT", "StoreRequests"]

# Seconds after which a request without a reply counts as lost. Below the
# lifetime of a confirmation: a later reply could not confirm anything.
REQUEST_TIMEOUT = 2.0


class StoreRequests:
    """Numbers requests and passes each reply to its handler once.

    Every handler is called as `handler(now, reply)`.

    Parameters
    ----------
    emit : callable
        Called with each effect.
    """

    def __init__(self, *, emit):
        self.emit = emit
        self.next_token = 0
        self.waiting = {}

    def _request(self, now, make, arguments, handler):
        self.next_token += 1
        self.waiting[self.next_token] = (now, make, handler)
        self.emit(make(self.next_token, *arguments))

    def get(self, now, key, handler):
        """Read a row."""
        self._request(now, effects.TableGet, (key,), handler)

    def query(self, now, query, handler):
        """Read rows; `query` holds partition, sort key and limit."""
        self._request(now, effects.TableQuery, query, handler)

    def transact(self, now, request, handler):
        """Send a `CommitRequest`."""
        self._request(now, effects.TableTransact, request, handler)

    def get_object(self, now, name, handler):
        """Read an object."""
        self._request(now, effects.ObjectGet, (name,), handler)

    def put_object(self, now, name, data, handler):
        """Write an object."""
        self._request(now, effects.ObjectPut, (name, data), handler)

    def handle_reply(self, now, token, reply):
        """Handle a store's reply; duplicates and late ones are dropped."""
        _, _, handler = self.waiting.pop(token, (None, None, None))
        if handler is not None:
            handler(now, reply)

    def expire(self, now):
        """Call the handlers of requests whose replies are overdue.

        A write may have taken effect, a read is reported as unavailable.
        """
        late = [
            token
            for token, (sent_at, _, _) in self.waiting.items()
            if now - sent_at >= REQUEST_TIMEOUT
        ]
        for token in late:
            _, make, handler = self.waiting.pop(token)
            is_write = make in (effects.TableTransact, effects.ObjectPut)
            lost = store.Unknown if is_write else store.Unavailable
            handler(now, lost(reason="no reply within the request timeout"))
