"""What engines keep when an instance starts."""

__all__ = ["CacheInquiry"]

# Engines that one instance asks: each list takes an engine's time, and on a
# large fleet the peers' placements soon tell the rest.
MAX_INQUIRIES = 12


class CacheInquiry:
    """Asks the engines that are there at the start what they keep.

    Answers the minutes after all instances were lost at once: the engines
    still keep the shared parts, but nobody knows where, and each part would
    be read again.

    Parameters
    ----------
    client : EngineInquiry
    prefix_caches : PrefixCachesByService
    log : DecisionLog
    rng : random.Random
    """

    def __init__(self, *, client, prefix_caches, log, rng):
        self.client = client
        self.prefix_caches = prefix_caches
        self.log = log
        self.rng = rng
        self.is_done = False

    def ask(self, records):
        """Ask the engines of the first read of the registry that has any."""
        engines = [record for record in records if record.stage]
        if self.is_done or not engines:
            return
        self.is_done = True
        for record in self.rng.sample(engines, min(len(engines), MAX_INQUIRIES)):
            self.client.read_cached_parts(
                record, lambda parts, reason, r=record: self._take(r, parts, reason)
            )

    def _take(self, record, parts, reason):
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
