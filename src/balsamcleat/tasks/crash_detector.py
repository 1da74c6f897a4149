"""Finds out which runs of requests ended because their targets crashed."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from balsamcleat.decisions.crash_suspects import TargetRun, UnfinishedRuns
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, TargetId
from balsamcleat.model.replicas import TargetStart
from balsamcleat.tasks.shared_crash_history import SharedCrashHistory
from balsamcleat.tasks.target_probe import accepts_connections

__all__ = ["CrashDetector"]


class CrashDetector:
    """Judges how runs ended, and records the crashes in the history.

    A cut connection may be a crash; if it was not, another target answers the request and clears
    it. A target that went silent, or whose connection was closed from this side, shows a crash
    only by accepting no connections any more or by leaving the target list soon after.

    Args:
        history: Crashes that any VM has seen.
        is_listed: Returns whether the target list still has a start of a target.
        can_judge_silence: Returns whether this VM is connected to the platform; if it is not, the
            targets that it can't reach have not crashed for that reason.
        probe: Returns whether an address accepts connections.
    """

    def __init__(
        self,
        history: SharedCrashHistory,
        is_listed: Callable[[TargetStart], bool],
        can_judge_silence: Callable[[], bool],
        probe: Callable[[str], Awaitable[bool]] = accepts_connections,
    ) -> None:
        self.history = history
        self.is_listed = is_listed
        self.can_judge_silence = can_judge_silence
        self.probe = probe
        self.unfinished = UnfinishedRuns()
        self.tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the probes until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            await anyio.sleep_forever()

    def has_suspects(self) -> bool:
        """Return whether anything is known that an answer would clear."""
        return self.history.has_suspects() or bool(self.unfinished.runs)

    def record_failure(self, run: TargetRun, error: AttemptFailedError) -> None:
        """Record a run that failed at its target."""
        if not error.perhaps_sent:
            return
        if error.kind is FailureKind.CUT:
            self.history.record_crash(run, "cut off")
        elif error.kind is FailureKind.SILENT:
            self.record_silence(run)

    def record_silence(self, run: TargetRun) -> None:
        """Record a run whose target did not answer in time, and probe the target."""
        self.record_abandonment(run)
        if run in self.unfinished.runs and self.tasks is not None:
            self.tasks.start_soon(self.probe_target, run)

    def record_abandonment(self, run: TargetRun) -> None:
        """Record a run of which this VM can't tell whether it got a whole response."""
        if self.is_listed(run.start):
            self.unfinished.add(run, anyio.current_time())
        else:
            self.history.record_crash(run, "left the target list before")

    def record_answer(self, digest: str) -> None:
        """Record that a target answered a request completely; it is then no suspect."""
        self.unfinished.remove_content(digest)
        self.history.record_answer(digest)

    def on_target_end(self, target_id: TargetId, started_ms: int | None) -> None:
        """Record the crashes of a target that left the target list, or that has started again.

        Args:
            target_id: Id of the target.
            started_ms: Time of the new start, or None if the target left the list.
        """
        now_s = anyio.current_time()
        for run in self.unfinished.pop_crashed(target_id, started_ms, now_s):
            self.history.record_crash(run, "ended after a run without a response")

    async def probe_target(self, run: TargetRun) -> None:
        """Record a crash if the run's target accepts no connections any more."""
        if not self.can_judge_silence() or await self.probe(run.address):
            return
        if run in self.unfinished.runs and self.can_judge_silence():
            self.unfinished.remove([run])
            self.history.record_crash(run, "silent and unreachable")
