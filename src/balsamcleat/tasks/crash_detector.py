"""Finds out which runs of requests ended because their targets crashed."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import structlog

from balsamcleat.decisions.crash_suspects import TargetRun, UnfinishedRuns
from balsamcleat.decisions.target_path import TargetCondition
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, TargetId
from balsamcleat.model.replicas import TargetStart
from balsamcleat.tasks.shared_crash_history import SharedCrashHistory
from balsamcleat.tasks.target_probe import accepts_connections

__all__ = ["CrashDetector", "examine_alone"]

log = structlog.get_logger()


async def examine_alone(run: TargetRun) -> TargetCondition:
    """Return the condition of a run's target as far as this VM alone can tell."""
    if await accepts_connections(run.address):
        return TargetCondition.REACHED
    return TargetCondition.ENDED


class CrashDetector:
    """Judges how runs ended, and records the crashes in the history.

    A cut connection may be a crash; if it was not, another target answers the request and clears
    it. A target that went silent, or whose connection was closed from this side, shows a crash
    only by accepting no connections any more or by leaving the target list soon after.

    What this VM sees counts for this VM at once. Other VMs are told only of crashes that are not
    explained by a lost link of this VM.

    Args:
        history: Crashes that any VM has seen.
        is_listed: Returns whether the target list still has a start of a target.
        can_judge_silence: Returns whether this VM is connected to the platform; if it is not, the
            targets that it can't reach have not crashed for that reason.
        examine: Returns the condition of a run's target now.
    """

    def __init__(
        self,
        history: SharedCrashHistory,
        is_listed: Callable[[TargetStart], bool],
        can_judge_silence: Callable[[], bool],
        examine: Callable[[TargetRun], Awaitable[TargetCondition]] = examine_alone,
    ) -> None:
        self.history = history
        self.is_listed = is_listed
        self.can_judge_silence = can_judge_silence
        self.examine = examine
        self.unfinished = UnfinishedRuns()
        # Runs whose connections were cut, and whose targets are being examined.
        self.examined_runs: dict[TargetRun, anyio.Event] = {}
        self.tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the examinations until cancelled."""
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
            self.record_cut(run)
        elif error.kind is FailureKind.SILENT:
            self.record_silence(run)
        elif error.kind is FailureKind.LINK_LOST:
            self.record_abandonment(run)

    def record_cut(self, run: TargetRun) -> None:
        """Record a run whose connection was cut, and examine its target."""
        if self.tasks is None:
            self.history.record_crash(run, "cut off")
            return
        self.history.record_crash(run, "cut off", is_shared=False)
        if run not in self.examined_runs:
            self.examined_runs[run] = anyio.Event()
            self.tasks.start_soon(self.examine_cut, run)

    async def examine_cut(self, run: TargetRun) -> None:
        """Share the crash of a run whose connection was cut, unless this VM lost its link."""
        try:
            condition = await self.examine(run)
            if condition is TargetCondition.LINK_LOST and self.is_listed(run.start):
                log.info("crash withdrawn", request=run.request, target=run.start.target_id)
                self.history.withdraw_crash(run)
                self.record_abandonment(run)
            elif condition is TargetCondition.UNKNOWN:
                # The target list will tell; until then, it is a crash for this VM only.
                self.record_abandonment(run)
            else:
                self.history.share_crash(run)
        finally:
            self.examined_runs.pop(run).set()

    async def wait_until_examined(self, digest: str) -> None:
        """Wait until it is known whether the cut runs of a request were crashes."""
        for run, event in list(self.examined_runs.items()):
            if run.digest == digest:
                await event.wait()

    def record_silence(self, run: TargetRun) -> None:
        """Record a run whose target did not answer in time, and examine the target."""
        self.record_abandonment(run)
        if run in self.unfinished.runs and self.tasks is not None:
            self.tasks.start_soon(self.examine_silence, run)

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

    async def examine_silence(self, run: TargetRun) -> None:
        """Record a crash if the run's target accepts no connections any more."""
        if not self.can_judge_silence():
            return
        condition = await self.examine(run)
        if condition is not TargetCondition.ENDED:
            return
        if run in self.unfinished.runs and self.can_judge_silence():
            self.unfinished.remove([run])
            self.history.record_crash(run, "silent and unreachable")
