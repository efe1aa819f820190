"""Limits per workspace on request rate and open requests."""

from collections import Counter

from wagtailfront.decisions.admission import TokenBucket
from wagtailfront.outcome import Refused

__all__ = ["WorkspaceLimits"]

# Open requests of one instance, of which a workspace may use `queue_share`.
OPEN_REQUESTS = 400
RETRY_SECONDS = 1.0


class WorkspaceLimits:
    """Admits a workspace's requests within its configured limits.

    Each instance enforces an equal part of the rate. Together they allow the
    whole rate only if the balancer spreads the workspace evenly over them.

    Parameters
    ----------
    open_requests : int, optional
        Open requests of the instance that the workspaces share.

    Examples
    --------
    >>> from wagtailfront.authority.config_state import Workspace
    >>> limits = WorkspaceLimits()
    >>> limits.configure({"a": Workspace("a", 1.0, 1.0)}, instances=1)
    >>> limits.admit("a", now=0.0) is None
    True
    >>> limits.admit("a", now=0.0).code
    'rate_limited'
    """

    def __init__(self, *, open_requests=OPEN_REQUESTS):
        self.open_requests = open_requests
        self.workspaces = {}
        self.instances = 1
        self.buckets = {}
        self.open_counts = Counter()

    def configure(self, workspaces, *, instances):
        """Set the configured workspaces and the number of instances."""
        changed = instances != self.instances
        self.buckets = {
            name: bucket
            for name, bucket in self.buckets.items()
            if not changed and workspaces.get(name) == self.workspaces.get(name)
        }
        self.workspaces = workspaces
        self.instances = instances

    def admit(self, name, *, now):
        """Return None and count the request as open, or return Refused."""
        workspace = self.workspaces.get(name)
        if workspace is not None:
            if self.open_counts[name] >= max(
                1, workspace.queue_share * self.open_requests
            ):
                return _refused("too many open requests", RETRY_SECONDS)
            wait = self._bucket(workspace, now).take(1.0, now=now)
            if wait > 0:
                return _refused("the workspace's rate is used up", wait)
        self.open_counts[name] += 1
        return None

    def ended(self, name):
        """Record that an admitted request has ended."""
        self.open_counts[name] -= 1
        if not self.open_counts[name]:
            del self.open_counts[name]

    def _bucket(self, workspace, now):
        bucket = self.buckets.get(workspace.name)
        if bucket is None:
            burst = max(1.0, workspace.burst / self.instances)
            bucket = self.buckets[workspace.name] = TokenBucket(
                rate=workspace.requests_per_s / self.instances,
                burst=burst,
                level=burst,
                filled_at=now,
            )
        return bucket


def _refused(reason, wait):
    return Refused(reason=reason, code="rate_limited", retry_after=wait)
