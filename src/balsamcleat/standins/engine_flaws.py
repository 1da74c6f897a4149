"""What can go wrong with an engine's stand-in, and where exported KV caches are."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["EngineFlaws", "KvPool"]


@dataclass
class EngineFlaws:
    """Switches for what goes wrong.

    Attributes:
        crash_on: A prompt containing this text crashes the engine.
        honours_fencing: Whether orders with an old fencing number are refused.
        load_lag_s: How old load reports are, in seconds.
        cache_event_lag_s: How late cache events are published, in seconds.
        cache_event_drop_every: Every so many-th cache event is lost; 0 for none.
        fail_next_swaps: How many of the next weight loads fail partway.
        swap_report_lag_s: How long after a swap the state still names the old version.
        lose_order_answers: How many of the next orders take effect and then answer 500.
        refuse: Answer generations with 503.
        cut_after_frames: Cut each stream after so many frames; 0 for never.
        stall_after_frames: Fall silent in each stream after so many frames; 0 for never.
        exports_kv: Whether KV cache can be exported and imported.
    """

    crash_on: str = ""
    honours_fencing: bool = True
    load_lag_s: float = 0.0
    cache_event_lag_s: float = 0.0
    cache_event_drop_every: int = 0
    fail_next_swaps: int = 0
    swap_report_lag_s: float = 0.0
    lose_order_answers: int = 0
    refuse: bool = False
    cut_after_frames: int = 0
    stall_after_frames: int = 0
    exports_kv: bool = True


@dataclass
class KvPool:
    """Exported KV caches by handle, with the tokens each covers; engines may share one."""

    tokens: dict[str, int] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def export(self, tokens: int) -> str:
        """Keep an export and return its handle."""
        handle = f"kv-{next(self.numbers)}"
        self.tokens[handle] = tokens
        return handle
