"""Confirmation that the known endpoints are the present ones."""

from wagtailfront.forwarding.interfaces import RegistryRead

__all__ = ["RegistryConfirmation"]


class RegistryConfirmation:
    """Asks the store for what an open watch may not have brought.

    An instance that stood still, or whose connections are silent, does not
    notice at once that it knows an old state. Callers that ask while a
    question is open share the next one, since its answer may be older than
    they are.

    Parameters
    ----------
    source : RegistrySource
    watcher : StoreWatcher
        Its cursor is where a question begins.
    versions : StoreVersions
    apply_read : callable
        Called with each RegistryRead.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> from wagtailfront.forwarding.interfaces import StorePosition
    >>> from wagtailfront.forwarding.store_versions import StoreVersions
    >>> questions = []
    >>> source = SimpleNamespace(
    ...     watch=lambda cursor, wait, reply: questions.append(reply)
    ... )
    >>> confirmation = RegistryConfirmation(
    ...     source=source,
    ...     watcher=SimpleNamespace(
    ...         table="registry", cursor=StorePosition(1, 1)
    ...     ),
    ...     versions=StoreVersions(tables=("registry",)),
    ...     apply_read=lambda read: None,
    ... )
    >>> for _ in range(3):
    ...     confirmation.ask(print)
    >>> len(questions)
    1
    >>> questions[0](RegistryRead(True, cursor=StorePosition(1, 1)))
    True
    >>> questions[1](RegistryRead(False))
    False
    False
    """

    def __init__(self, *, source, watcher, versions, apply_read):
        self.source = source
        self.watcher = watcher
        self.versions = versions
        self.apply_read = apply_read
        self.is_asking = False
        self.waiting = []

    def ask(self, reply):
        """Ask the store; `reply` gets whether the directory is up to date."""
        self.waiting.append(reply)
        if not self.is_asking:
            self._ask_store()

    def _ask_store(self):
        replies, self.waiting = self.waiting, []
        cursor = self.watcher.cursor
        if cursor is None:
            self._answer(replies, RegistryRead(False, reason="no read yet"))
            return
        self.is_asking = True
        self.source.watch(cursor, 0.0, lambda read: self._answer(replies, read))

    def _answer(self, replies, read):
        self.is_asking = False
        # Without a cursor the store has lost the history; the watch reads all.
        is_confirmed = (
            read.is_known
            and read.cursor is not None
            and read.cursor.era >= self.versions.era
        )
        if is_confirmed:
            self.versions.record(self.watcher.table, read.changed)
        if is_confirmed or not read.is_known:
            self.apply_read(read)
        for reply in replies:
            reply(is_confirmed)
        if self.waiting and not self.is_asking:
            self._ask_store()
