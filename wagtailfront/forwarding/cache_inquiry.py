"""Inquiry of engines' caches when an instance starts."""

import time

__all__ = ["CacheInquiry"]

# Engines that one instance queries. A query takes an engine's time, and in a
# large fleet the placements reported by peers soon cover the others.
MAX_INQUIRIES = 12


class CacheInquiry:
    """Queries engines for their cached prompt parts at the start.

    After a restart of all instances at once, the engines still have the
    shared prompt parts in their caches, but no instance knows which engine
    has which. Without the inquiry each part would be prefilled again.

    Parameters
    ----------
    client : EngineInquiry
    prefix_caches : PrefixCachesByService
    rate_limits : RateLimits
    notices : EndpointNotices
    log : DecisionLog
    rng : random.Random
    clock : callable, optional
    """

    def __init__(
        self,
        *,
        client,
        prefix_caches,
        rate_limits,
        notices,
        log,
        rng,
        clock=time.monotonic,
    ):
        self.client = client
        self.prefix_caches = prefix_caches
        self.rate_limits = rate_limits
        self.notices = notices
        self.log = log
        self.rng = rng
        self.clock = clock
        self.is_done = False

    def ask(self, records):
        """Query the engines of the first read that contains any."""
        engines = [record for record in records if record.stage]
        if self.is_done or not engines:
            return
        self.is_done = True
        now = self.clock()
        for record in self.rng.sample(engines, min(len(engines), MAX_INQUIRIES)):
            if self.notices.wait(record.incarnation):
                self._on_reply(record, None, "it leaves or asks for a pause")
                continue
            if self.rate_limits.wait(record.incarnation, now=now):
                self._on_reply(record, None, "its rate limit permits no query")
                continue
            self.rate_limits.reserve(record.incarnation, now=now)
            self.notices.reserve(record.incarnation)
            self.client.read_cached_parts(
                record, lambda parts, reason, r=record: self._on_reply(r, parts, reason)
            )

    def _on_reply(self, record, parts, reason):
        prefix_cache = self.prefix_caches.get(record.service)
        self.log.decision(
            "kept_parts",
            outcome="unknown" if parts is None else "learnt",
            endpoint=record.endpoint_id,
            parts=len(parts or ()),
            reason=reason,
        )
        if prefix_cache is not None and parts:
            prefix_cache.record_prompt(record.incarnation, parts)
