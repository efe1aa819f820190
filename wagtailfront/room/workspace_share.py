"""Engine time that workspaces have had, and which give way to others."""

from collections import defaultdict

from wagtailfront.admission.fair_share import FairShare
from wagtailfront.admission.recent_ratio import RecentRatio
from wagtailfront.membership.messages import WorkspaceWork

__all__ = ["WorkspaceShares"]

WORK_HALF_LIFE = 2.0  # seconds; about as long as callers wait for a first event
# Share of requests that wait for room or are refused from which a service is
# short. Requests that cannot be served for other reasons are fewer.
SHORT_SHARE = 0.01
# Share of a workspace's requests that is to be admitted at the least, relative
# to that of all. The rules demand a quarter; some of those are not served.
MIN_SHARE = 0.7
MAX_REPORTED = 32  # workspaces of a service in a report, the largest first
PEER_LIFETIME = 3.0  # seconds, as of a peer's load
MS_PER_SECOND = 1000


class _Service:
    """What this instance admitted to one service."""

    def __init__(self):
        self.work = {}
        self.admitted = FairShare()
        self.delayed = RecentRatio(half_life=WORK_HALF_LIFE)


class WorkspaceShares:
    """Tells which workspaces have had more than their share.

    A DigestPart: instances tell each other what they admitted, while they
    refuse requests for lack of room or time.

    Examples
    --------
    >>> import random
    >>> shares, rng = WorkspaceShares(), random.Random(1)
    >>> for workspace, work in (("a", 9.0), ("b", 1.0)):
    ...     shares.record("s", workspace, True, work=work, now=0.0)
    >>> shares.gives_way("s", "a", now=0.0, rng=rng)
    False
    >>> shares.record("s", "b", False, now=0.0)
    >>> [shares.gives_way("s", each, now=0.0, rng=rng) for each in ("a", "b")]
    [True, False]
    """

    def __init__(self):
        self.services = defaultdict(_Service)
        self.peers = {}

    def record(self, service, workspace, is_admitted, *, now, work=0.0, waits=False):
        """Record a decision on a request.

        Parameters
        ----------
        service, workspace : str
        is_admitted : bool
        now : float
        work : float, optional
            Engine time in seconds that it takes.
        waits : bool, optional
            Whether it waits for room.
        """
        known = self.services[service]
        known.delayed.add(float(waits or not is_admitted), 1.0, now=now)
        known.admitted.record(workspace, is_admitted, now=now)
        if is_admitted:
            value, at = known.work.get(workspace, (0.0, now))
            known.work[workspace] = (_decay(value, now - at) + work, now)

    def gives_way(self, service, workspace, *, now, rng):
        """Return whether a workspace's request comes after those of others.

        It does while the service is short, if the workspace has had more than
        an equal share of the engines' time. So many of its requests do not
        that it is served at least a quarter as often as all.
        """
        known = self.services.get(service)
        if known is None or (known.delayed.value(now=now) or 0.0) < SHORT_SHARE:
            return False
        work = self._total_work(service, now)
        if work.get(workspace, 0.0) * len(work) <= sum(work.values()):
            return False
        missing = known.admitted.missing(workspace, now=now, min_share=MIN_SHARE)
        return rng.random() >= missing

    def _total_work(self, service, now):
        """Return the recent work of each workspace at all instances."""
        work = self._own_work(service, now)
        for at, report in self.peers.values():
            if now - at <= PEER_LIFETIME:
                for workspace, ms in report.get(service, ()):
                    work[workspace] = work.get(workspace, 0.0) + ms / MS_PER_SECOND
        return work

    def _own_work(self, service, now):
        return {
            workspace: _decay(value, now - at)
            for workspace, (value, at) in self.services[service].work.items()
        }

    # DigestPart

    def fields(self, *, now, full):
        """Return what workspaces have had at this instance, if it is short."""
        reports = []
        for service, known in self.services.items() if full else ():
            if (known.delayed.value(now=now) or 0.0) < SHORT_SHARE:
                continue
            ms = {
                workspace: round(work * MS_PER_SECOND)
                for workspace, work in self._own_work(service, now).items()
            }
            # Workspaces without recent requests must not accumulate.
            known.work = {each: known.work[each] for each in ms if ms[each]}
            largest = sorted(ms.items(), key=lambda item: -item[1])[:MAX_REPORTED]
            reports.append(WorkspaceWork(service, tuple(largest)))
        return {"workspace_work": tuple(reports)}

    def merge(self, digest, *, now):
        """Take what a peer admitted of each workspace."""
        if digest.workspace_work:
            # Incarnations of past starts must not accumulate.
            self.peers = {
                incarnation: report
                for incarnation, report in self.peers.items()
                if now - report[0] <= PEER_LIFETIME
            }
            report = {each.service: each.work_ms for each in digest.workspace_work}
            self.peers[digest.incarnation] = (now, report)


def _decay(value, age):
    return value * 0.5 ** (max(0.0, age) / WORK_HALF_LIFE)
