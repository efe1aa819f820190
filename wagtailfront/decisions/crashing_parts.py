"""Detection of prompt parts that crash the engines which answer them."""

from collections import deque
from typing import NamedTuple

import msgspec

from wagtailfront.decisions.part_reports import PartCrash, PartReport, PartTime

__all__ = ["CrashingParts", "PartChange"]

# Crashes in a row, each of a request sent after the one before, from which a
# part is refused. Engines that crash at the same moment count once.
MIN_CRASHES = 3
# Engines from which a part that was never answered is refused, even if they
# crashed at the same moment.
MIN_ENGINES = 4
LIFETIME = 600.0  # seconds for which a crash counts and a part is refused
# Seconds by which reports of another instance may arrive late.
REPORT_DELAY = 0.3
RESEND_FOR = 2.5  # seconds for which news are repeated, as a report may be lost
RENEW_AFTER = 0.5  # seconds after which the same news are sent again
# Seconds after which a crash counts, unless its engine has responded since.
CONFIRMATION_DELAY = 0.5
# Seconds after a crash; an engine that responds later may have restarted.
MAX_WITHDRAWAL = 1.5
MAX_CRASHES = 256
MAX_ANSWERED = 4096  # parts
MAX_REPORTED = 16  # entries of one kind in a report
# Characters of a prompt's part ids, which callers choose.
MAX_PART_CHARACTERS = 256


class PartChange(NamedTuple):
    """A part that is refused from now on, or no longer.

    Attributes
    ----------
    part : str
    is_refused : bool
    crashes : int
        Crashes from which this instance concluded it; 0 if another one did.
    is_own : bool
        Whether this instance observed one of them.
    """

    part: str
    is_refused: bool
    crashes: int = 0
    is_own: bool = False


class _Crash(NamedTuple):
    """A crash of one attempt, in this instance's time."""

    parts: tuple
    engine: str
    source: str
    sent: float
    at: float


class CrashingParts:
    """Decides which prompt parts are refused, from crashes on all instances.

    Parameters
    ----------
    source : str
        Names this instance.
    lifetime : float, optional
        Seconds for which a crash counts and a part is refused.

    Notes
    -----
    All requests in progress on an engine fail when it crashes, and most are
    not the cause. A part is refused after `MIN_CRASHES` crashes in a row
    without an answer to any request with it. Attempts that were sent before
    the crash that was counted last do not count, since many engines may
    crash at the same moment for another reason. A part that was never
    answered is refused after crashes of `MIN_ENGINES` engines, in a row or
    not: few sound parts are on as many engines before their first answer.

    A prompt with a crashing part usually begins with parts that are sound.
    Parts that were answered before are suspected only if all parts of a
    request were. Crashes of engines that had a part that is refused do not
    count for other parts. The part that was on most crashed engines is
    judged first, and of several the last one of a prompt, as it is the most
    specific.

    An engine that answers a request sent after its presumed crash did not
    crash, for example if only the connection was reset; its crash is then
    withdrawn. So a crash counts only after a delay, and `update` is to be
    called several times a second.

    Examples
    --------
    >>> parts = CrashingParts(source="a")
    >>> for n in range(3):
    ...     parts.record_crash(("s", "d"), f"e{n}", sent=n, now=n + 0.5)
    >>> _ = parts.update(now=3.0)
    >>> [parts.find_refused(ids, now=3.0) for ids in (("s",), ("s", "d"))]
    [None, 'd']
    """

    def __init__(self, *, source, lifetime=LIFETIME):
        self.source = source
        self.lifetime = lifetime
        self.crashes = []
        self.answered = {}
        self.refused = {}
        self.changes = []
        self.news = {}
        self.unconfirmed = deque()

    # Observations of this instance

    def record_crash(self, parts, engine, *, sent, now):
        """Record an attempt whose engine crashed before it answered.

        Parameters
        ----------
        parts : tuple of str
            Shared parts of the prompt, in order.
        engine : str
            Incarnation of the engine.
        sent : float
            When the attempt was sent.
        now : float
        """
        if not parts or sum(map(len, parts)) > MAX_PART_CHARACTERS:
            return
        crash = _Crash(tuple(parts), engine, self.source, sent, now)
        self._add(crash, now)
        has_unknown = any(part not in self.answered for part in parts)
        if has_unknown or any(self.count_crashes(part) > 1 for part in parts):
            self._announce("crashes", crash, now)

    def record_answer(self, parts, *, now):
        """Record that an engine has begun to answer a prompt with `parts`."""
        for part in parts:
            if part in self.refused or any(part in c.parts for c in self.crashes):
                self._announce("answered", part, now)
            self._set_answered(part, now)

    def record_response(self, engine, *, sent, now):
        """Withdraw the crash of an engine that responds to a later request."""
        if any(
            c.engine == engine and 0 < sent - c.at < MAX_WITHDRAWAL
            for c in self.crashes
        ):
            self._withdraw(engine, sent)
            self._announce("alive", engine, now)

    # Decisions

    def find_refused(self, parts, *, now):
        """Return the first of `parts` that is refused, or None."""
        if not self.refused:
            return None
        return next((part for part in parts if self._is_refused(part, now)), None)

    def count_crashes(self, part):
        """Return how many crashes in a row followed requests with a part."""
        return self._count_in_a_row(self._crashes_of(part))

    def _count_in_a_row(self, crashes):
        count, last = 0, None
        for crash in crashes:
            if last is None or crash.sent >= last.at + self._delay(crash, last):
                count, last = count + 1, crash
        return count

    def restore(self, parts, *, now):
        """Refuse parts that were refused before this instance started."""
        for part in set(parts) - self.refused.keys() - self.answered.keys():
            self._refuse(part, now)

    def needs_update(self):
        """Return whether `update` may have something to do."""
        return bool(self.unconfirmed or self.refused or self.changes)

    def update(self, *, now):
        """Refuse the parts whose crashes are confirmed by now.

        Returns
        -------
        list of PartChange
            The changes since the last call.
        """
        due = set()
        while self.unconfirmed and self.unconfirmed[0][0] <= now:
            due.update(self.unconfirmed.popleft()[1])
        # The likeliest cause first: its crashes do not count for other parts.
        for part in sorted(due, key=self._rank, reverse=True):
            self._refuse_if_due(part, now)
        for part in [p for p in self.refused if not self._is_refused(p, now)]:
            self._allow(part)
        changes, self.changes = self.changes, []
        return changes

    def _delay(self, crash, last):
        is_own = crash.source == last.source
        return 0.0 if is_own else REPORT_DELAY

    def _is_refused(self, part, now):
        since = self.refused.get(part)
        return since is not None and now - since < self.lifetime

    def _crashes_of(self, part):
        """Return the crashes that a part may have caused."""
        answered = self.answered.get(part, float("-inf"))
        explained = self._explained_engines(part)
        return [
            crash
            for crash in self.crashes
            if part in crash.parts
            and crash.at > answered
            and crash.engine not in explained
            and (part not in self.answered or self.answered.keys() >= {*crash.parts})
        ]

    def _explained_engines(self, part):
        """Return the engines that crashed with another refused part."""
        others = self.refused.keys() - {part}
        return {c.engine for c in self.crashes if not others.isdisjoint(c.parts)}

    def _is_explained(self, part):
        """Return whether another part explains all crashes with a part."""
        engines = {crash.engine for crash in self.crashes if part in crash.parts}
        return bool(engines) and engines <= self._explained_engines(part)

    def _rank(self, part):
        """Return how likely a part is the cause: its engines, then depth."""
        crashes = [crash for crash in self.crashes if part in crash.parts]
        depth = max((crash.parts.index(part) for crash in crashes), default=0)
        return len({crash.engine for crash in crashes}), depth

    def _refuse_if_due(self, part, now):
        """Refuse a part with enough crashes."""
        confirmed_at = now - CONFIRMATION_DELAY
        crashes = [c for c in self._crashes_of(part) if c.at <= confirmed_at]
        if part not in self.refused and self._is_enough(part, crashes):
            is_own = any(crash.source == self.source for crash in crashes)
            self._refuse(part, now, crashes=len(crashes), is_own=is_own)

    def _is_enough(self, part, crashes):
        if self._count_in_a_row(crashes) >= MIN_CRASHES:
            return True
        engines = {crash.engine for crash in crashes}
        return part not in self.answered and len(engines) >= MIN_ENGINES

    def _refuse(self, part, since, **evidence):
        self.refused[part] = since
        self.changes.append(PartChange(part, True, **evidence))

    def _allow(self, part):
        del self.refused[part]
        self.changes.append(PartChange(part, False))

    def _set_answered(self, part, at):
        self.answered.pop(part, None)
        self.answered[part] = at
        if len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]
        if self.refused.get(part, at) < at:
            self._allow(part)

    def _withdraw(self, engine, before):
        self.crashes = [
            crash
            for crash in self.crashes
            if crash.engine != engine or crash.at >= before
        ]

    def _add(self, crash, now):
        known = ((c.parts, c.engine, c.source) for c in self.crashes)
        if (crash.parts, crash.engine, crash.source) in known:
            return
        recent = (c for c in self.crashes if now - c.at < self.lifetime)
        ordered = sorted((*recent, crash), key=lambda c: c.at)
        self.crashes = ordered[-MAX_CRASHES:]
        self.unconfirmed.append((now + CONFIRMATION_DELAY, crash.parts))

    # Exchange with other instances

    def _announce(self, kind, item, now):
        """Add an item to the next reports."""
        entry = self.news.get((kind, item))
        if entry is None or now - entry[0] > RENEW_AFTER:
            self.news[kind, item] = [now, False]

    def make_report(self, *, now, full):
        """Return the report that is due, or None.

        Parameters
        ----------
        now : float
        full : bool
            Repeat recent news, and include all parts that are refused. To be
            set about once a second: this reaches instances that were not
            there, or not in touch, when a part was first refused.
        """
        self.news = {
            key: entry
            for key, entry in self.news.items()
            if now - entry[0] < RESEND_FOR or not entry[1]
        }
        due = {"crashes": [], "answered": [], "alive": []}
        for (kind, item), entry in self.news.items():
            if (full or not entry[1]) and len(due[kind]) < MAX_REPORTED:
                due[kind].append((item, entry[0]))
                entry[1] = True
        refused = [
            PartTime(part, now - since) for part, since in self.refused.items() if full
        ]
        report = PartReport(
            crashes=tuple(
                PartCrash(crash.parts, crash.engine, now - crash.sent, now - crash.at)
                for crash, _ in due["crashes"]
            ),
            answered=tuple(PartTime(part, now - at) for part, at in due["answered"]),
            alive=tuple(PartTime(engine, now - at) for engine, at in due["alive"]),
            refused=tuple(refused[-MAX_REPORTED:]),
        )
        return report if any(msgspec.structs.astuple(report)) else None

    def merge(self, source, report, *, now):
        """Merge the report of another instance.

        Parameters
        ----------
        source : str
            Names the instance that made the report.
        report : PartReport
        now : float
        """
        for entry in report.answered:
            if self.answered.get(entry.name, float("-inf")) < now - entry.age:
                self._set_answered(entry.name, now - entry.age)
        for entry in report.alive:
            self._withdraw(entry.name, now - entry.age)
        for item in report.crashes:
            sent, at = now - item.sent_age, now - item.age
            self._add(_Crash(item.parts, item.engine, source, sent, at), now)
        for entry in report.refused:
            since = now - entry.age
            answered = self.answered.get(entry.name, float("-inf"))
            if since <= answered + REPORT_DELAY:
                self._announce("answered", entry.name, answered)
            elif entry.name not in self.refused and not self._is_explained(entry.name):
                self._refuse(entry.name, since)
        suspects = {part for item in report.crashes for part in item.parts}
        for part in suspects & self.answered.keys():
            # Other instances may not know that the part is sound.
            if sum(part in crash.parts for crash in self.crashes) >= MIN_CRASHES - 1:
                self._announce("answered", part, self.answered[part])
