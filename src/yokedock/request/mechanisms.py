"""Switches for the router's optional mechanisms. All are on; operators turn them off to measure.

``tools/ablation.py`` measures the effect of turning off each one; docs/JOURNEY-PLANNER.md has the
results. Guarantees to callers depend on none of them, except where the help text says so.
"""

from __future__ import annotations

import dataclasses

from yokedock.base.options import option


@dataclasses.dataclass(frozen=True)
class Mechanisms:
    """The mechanisms that are enabled."""

    promises_of_others: bool = option("include other routers' reservations in engine load", True)
    pace: bool = option("weigh each engine's measured prefill and decode speed", True)
    prompt_homes: bool = option("send prompts that share a part to the same engine, by hash", True)
    cached_copies: bool = option("copy a cached prompt from another engine", True)
    cache_lookup: bool = option("ask engines for their cached prompts after a failure", True)
    decode_reads: bool = option("allow prefill on decode engines, besides prefill engines", True)
    decode_reads_when_calm: bool = option("prefer that while utilization is low", True)
    refuse_hopeless: bool = option("refuse at once if no capacity is expected in time", True)
    deadline_order: bool = option("on-time first, earliest deadline first; off: by arrival", True)
    silence_watch: bool = option("avoid engines whose streams are all silent", True)
    avoid_broken: bool = option("move a broken stream to another engine", True)
    resume: bool = option("resume a broken stream within the same response", True)
    role_changes: bool = option("assign roles to engines; off: they keep initial roles", True)
    reconnects: bool = option("retry when an engine cannot be reached", True)
    quarantine: bool = option("quarantine requests that crash their backends", True)
    retry_shares: bool = option("share the retry budget; off: it may be exceeded", True)


ALL_ON = Mechanisms()
