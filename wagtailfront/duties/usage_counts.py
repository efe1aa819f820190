"""Requests that engines began to run, by window and workspace."""

from collections import Counter, defaultdict

from wagtailfront.membership.messages import MAX_TEXT, WindowUsage

__all__ = ["UsageCounts"]

# Seconds after the end of a window until which its counts are taken.
MERGED_FOR = 25.0
# Seconds after its end in which a window is repeated in each full digest,
# which is one in a second: before the sum is made, as a message may have been
# lost, and later, for a peer that was cut off.
REPEATED = ((0.0, 2.0), (8.0, 9.0), (18.0, 19.0))
# Bytes of counts in one digest; a relayed message has up to 24 digests, and
# may be 96 KB long.
MAX_COUNT_BYTES = 2500
# Bytes of a sum, which only the holder tells. Larger ones are only in the
# store.
MAX_SUM_BYTES = 8000
ENTRY_BYTES = 4  # of an entry, without the name
# Seconds for which counts wait for a platform that takes no reports.
KEPT_FOR = 900.0
# Seconds from the start in which an instance may lack counts of its peers.
NEW_FOR = 20.0
# Seconds after the end of a window from which an instance that was heard of
# has told all its counts; it sends a digest at least once a second.
TOLD_AFTER = 1.0


class UsageCounts:
    """Counts of this instance and of its peers; a `DigestPart`.

    Counts of an incarnation only grow, so reports that are lost, repeated or
    out of order do no harm: the largest is taken.

    Parameters
    ----------
    window_length : float
        Seconds.
    true_time : TrueTime

    Attributes
    ----------
    sums : dict of int to dict
        Sums that were decided, by window, as far as this instance knows.
    late, late_of_peers : Counter
        Requests that were counted after their window's sum, by window.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> clocks = SimpleNamespace(
    ...     clock=lambda: 1.0, at=lambda since: since + 100.0, is_agreed=True
    ... )
    >>> counts = UsageCounts(window_length=5.0, true_time=clocks)
    >>> counts.record("w1", age=0.02)
    >>> counts.record("w1", age=3.0)
    >>> counts.sum(20), counts.sum(19)
    ({'w1': 1}, {'w1': 1})
    """

    def __init__(self, *, window_length, true_time):
        self.window_length = window_length
        self.true_time = true_time
        self.early = []  # before true time is known, with the time since boot
        self.own = defaultdict(Counter)
        self.peers = defaultdict(lambda: defaultdict(Counter))
        self.folded = defaultdict(Counter)
        self.heard_at = {}  # incarnation -> true time of its latest digest
        self.sums = {}
        self.late, self.late_of_peers = Counter(), Counter()
        self.untold = {}  # window and workspace, in order, of counts to tell
        self.untold_sum = None
        self.told_sum = None  # window of the sum that this instance decided
        self.first_window = None
        self.oldest_heard = None  # oldest window that a peer counted

    def window_at(self, at):
        """Return the window that contains a true time."""
        return int(at // self.window_length)

    def window_end(self, window):
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_length

    def record(self, workspace, *, age):
        """Count a request that an engine began to run `age` seconds ago."""
        if workspace is None:
            return
        began = self.true_time.clock() - age
        if self.true_time.is_agreed:
            self._count(workspace, began)
        else:
            self.early.append((workspace, began))

    def _count(self, workspace, began):
        window = self.window_at(self.true_time.at(began))
        self.own[window][workspace] += 1
        if self._has_sum(window):
            self.late[window] += 1
        if len(workspace) <= MAX_TEXT:
            self.untold[window, workspace] = None

    def sum(self, window):
        """Return the counts of all instances in a window, by workspace."""
        total = Counter(self.folded.get(window, {}))
        for windows in (self.own, *self.peers.values()):
            total.update(windows.get(window, {}))
        return dict(total)

    def is_complete(self, window):
        """Return whether all that were heard of have told their counts."""
        end = self.window_end(window)
        since = end - self.window_length
        return all(
            at < since or at >= end + TOLD_AFTER for at in self.heard_at.values()
        )

    def is_new(self):
        """Return whether this instance may lack counts that others have."""
        if self.first_window is None or self.oldest_heard is None:
            return False
        uptime = self.true_time.now() - self.first_window * self.window_length
        return uptime < NEW_FOR and self.oldest_heard < self.first_window - 1

    def record_sum(self, window, counts):
        """Record the sum that the store has, and tell peers."""
        self.sums[window] = dict(counts)
        self.told_sum = self.untold_sum = window

    def last_sum(self):
        """Return the latest window whose sum was decided, or None."""
        return max(self.sums, default=None)

    def forget_sums_after(self, window):
        """Forget sums of later windows, which a wrong clock has made."""
        for later in [each for each in self.sums if each > window]:
            del self.sums[later]
        if self.told_sum is not None and self.told_sum > window:
            self.told_sum = self.untold_sum = None

    def take_late(self):
        """Return the requests that were late, here and at peers, once."""
        late = self.late, self.late_of_peers
        self.late, self.late_of_peers = Counter(), Counter()
        return late

    def expire(self):
        """Fold counts that are told no more, and drop old ones."""
        if not self.true_time.is_agreed:
            return
        now = self.true_time.now()
        if self.first_window is None:
            self.first_window = self.window_at(now)
        early, self.early = self.early, []
        for workspace, began in early:
            self._count(workspace, began)
        fold_before = self.window_at(now - MERGED_FOR)
        drop_before = self.window_at(now - KEPT_FOR)
        for windows in (self.own, *self.peers.values()):
            for window in [each for each in windows if each < fold_before]:
                self.folded[window].update(windows.pop(window))
        last = self.last_sum()
        for window in [each for each in self.folded if each < drop_before]:
            del self.folded[window]
        for window in [each for each in self.sums if each < fold_before]:
            self.folded.pop(window, None)
            if window != last:
                del self.sums[window]
        silent = [name for name, at in self.heard_at.items() if now - at > MERGED_FOR]
        for name in silent:
            del self.heard_at[name]
            if not self.peers[name]:
                del self.peers[name]

    # DigestPart

    def fields(self, *, now, full):
        """Return the counts that changed, and repeat recent ones if `full`."""
        if full:
            self._repeat()
        fields = {}
        if self.untold:
            fields["usage"] = self._take_untold()
        if self.told_sum is not None and (full or self.untold_sum is not None):
            self.untold_sum = None
            counts = self.sums.get(self.told_sum, {})
            if _is_tellable(counts):
                fields["usage_sums"] = (_usage(self.told_sum, counts),)
        return fields

    def merge(self, digest, *, now):
        """Take the counts and sums of a peer."""
        incarnation, at = digest.incarnation, self.true_time.now()
        self.heard_at[incarnation] = at
        fold_before = self.window_at(at - MERGED_FOR)
        for usage in digest.usage:
            if usage.window < fold_before:
                self._add_late_of_peer(usage.window, sum(n for _, n in usage.counts))
                continue
            self._merge_window(self.peers[incarnation][usage.window], usage)
        for usage in digest.usage_sums:
            self.sums.setdefault(usage.window, dict(usage.counts))

    def _merge_window(self, known, usage):
        if self.oldest_heard is None or usage.window < self.oldest_heard:
            self.oldest_heard = usage.window
        for workspace, count in usage.counts:
            added = count - known[workspace]
            if added > 0:
                known[workspace] = count
                self._add_late_of_peer(usage.window, added)

    def _add_late_of_peer(self, window, count):
        if self._has_sum(window):
            self.late_of_peers[window] += count

    def _has_sum(self, window):
        last = self.last_sum()
        return last is not None and window <= last

    def _repeat(self):
        """Have windows told again whose end was some time ago."""
        now = self.true_time.now()
        for window in tuple(self.own):
            age = now - self.window_end(window)
            if any(first <= age < last for first, last in REPEATED):
                for workspace in self.own[window]:
                    if len(workspace) <= MAX_TEXT:
                        self.untold.setdefault((window, workspace))

    def _take_untold(self):
        """Return as many untold counts as one digest may hold."""
        taken, size = defaultdict(dict), 0
        for window, workspace in tuple(self.untold):
            size += len(workspace.encode()) + ENTRY_BYTES
            if taken and size > MAX_COUNT_BYTES:
                break
            del self.untold[window, workspace]
            count = self.own.get(window, {}).get(workspace)
            if count:
                taken[window][workspace] = count
        return tuple(_usage(window, counts) for window, counts in taken.items())


def _usage(window, counts):
    return WindowUsage(window, tuple(sorted(counts.items())))


def _is_tellable(counts):
    """Return whether peers accept a message with these counts."""
    size = sum(len(name.encode()) + ENTRY_BYTES for name in counts)
    return size <= MAX_SUM_BYTES and all(len(name) <= MAX_TEXT for name in counts)
