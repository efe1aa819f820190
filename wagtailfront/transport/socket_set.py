"""Ordered set of sockets for components of circuits."""

__all__ = ["SocketSet"]


class SocketSet:
    """Sockets in order, with the methods of a list that circuits calls.

    A list takes a look at each of its sockets to find one of them.
    """

    def __init__(self):
        self.sockets = {}

    def append(self, sock):
        """Add a socket."""
        self.sockets[sock] = None

    def remove(self, sock):
        """Remove a socket."""
        del self.sockets[sock]

    def __contains__(self, sock):
        return sock in self.sockets

    def __iter__(self):
        return iter(self.sockets)

    def __len__(self):
        return len(self.sockets)

    def __getitem__(self, index):
        return list(self.sockets)[index]
