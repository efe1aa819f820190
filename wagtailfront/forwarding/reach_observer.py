"""What connections show of the path to endpoints."""

from typing import Protocol

__all__ = ["NoObserver", "ReachObserver"]


class ReachObserver(Protocol):
    """Receiver of what connections show of the path to endpoints."""

    def handle_connected(self, record) -> None:
        """Handle that a connection was opened."""

    def handle_unconnected(self, record) -> None:
        """Handle that no connection could be opened."""

    def handle_response(self, record) -> None:
        """Handle a part of a response."""


class NoObserver:
    """A ReachObserver that ignores everything."""

    def handle_connected(self, record):
        pass

    def handle_unconnected(self, record):
        pass

    def handle_response(self, record):
        pass
