"""The mechanisms of the router's decisions, each with a switch: on, unless an operator measures.

``tools/ablation.py`` plays each one off and writes what it is worth; docs/JOURNEY-PLANNER.md has
the table. None is needed for a promise to callers, but for what its help says.
"""

from __future__ import annotations

import dataclasses

from yokedock.base.options import option


@dataclasses.dataclass(frozen=True)
class Mechanisms:
    """Which mechanisms are in use."""

    promises_of_others: bool = option("count what other routers promised at each engine", True)
    pace: bool = option("weigh how fast each engine reads and makes tokens", True)
    prompt_homes: bool = option("send a prompt's parts to the same engine, by hash", True)
    cached_copies: bool = option("copy a cached prompt from another engine", True)
    cache_lookup: bool = option("ask engines which prompts they keep, after breaks", True)
    decode_reads: bool = option("let decode engines read prompts beside prefill engines", True)
    decode_reads_when_calm: bool = option("prefer that while engines are nearly empty", True)
    refuse_hopeless: bool = option("refuse at once whom no room will come for in time", True)
    deadline_order: bool = option("in time first, least time left first; off: by arrival", True)
    silence_watch: bool = option("avoid engines whose streams are all silent", True)
    avoid_broken: bool = option("give a stream that broke to another engine", True)
    resume: bool = option("go on with a broken stream within one answer", True)
    role_changes: bool = option("give engines their roles; off: as they started", True)
    reconnects: bool = option("try again when an engine cannot be reached", True)
    quarantine: bool = option("keep requests that end their backends from the others", True)
    retry_shares: bool = option("share the retry budget; off: it may be overspent", True)


ALL_ON = Mechanisms()
