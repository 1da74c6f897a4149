"""Scores the samples of owned steps whose text is complete."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.model.routing import RoutingTable
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.sample_scorer import SampleScorer, ScoringTask

__all__ = ["StepScorer"]

log = structlog.get_logger()


class StepScorer:
    """Scores samples as soon as their texts are complete, and records their results.

    Args:
        scorer: Obtains the score of one sample.
        table: Returns the routing table in force, or None before there is one.
        may_score: Returns whether this VM may score samples of a step now.
        on_failure: Called with a step whose counts of attempts have grown.
    """

    def __init__(
        self,
        scorer: SampleScorer,
        table: Callable[[], RoutingTable | None],
        may_score: Callable[[OwnedStep], bool],
        on_failure: Callable[[OwnedStep], None],
    ) -> None:
        self.scorer = scorer
        self.table = table
        self.may_score = may_score
        self.on_failure = on_failure

    async def score_step(self, step: OwnedStep) -> None:
        """Score the unscored samples of a step that are not being scored yet."""
        if step.ended or step.lost or step.handing_over:
            return
        async with anyio.create_task_group() as tasks:
            for sample_id in step.unscored - step.scoring.keys():
                scope = step.scoring[sample_id] = anyio.CancelScope()
                tasks.start_soon(self.score_sample, step, sample_id, scope)

    async def score_sample(self, step: OwnedStep, sample_id: str, scope: anyio.CancelScope) -> None:
        """Score a sample and record its result, unless the step cancels its scoring."""
        score: str | None = None
        is_decided = False
        try:
            with scope:
                score = await self.scorer.score(self.scoring_task(step, sample_id))
                is_decided = True
        finally:
            del step.scoring[sample_id]
            step.notify()
        if not is_decided or step.ended or step.lost:
            return
        if score is None:
            log.warning("sample not scored", step=step.step_id, sample=sample_id)
            step.add_result(SampleResult(sample_id, SampleState.GIVEN_UP))
        else:
            step.add_result(step.complete_result(sample_id, score))

    def scoring_task(self, step: OwnedStep, sample_id: str) -> ScoringTask:
        """Return what the scorer must know of a sample."""
        scoring = step.samples[sample_id].scoring
        assert scoring is not None
        table = self.table()
        route = table.match(step.record.host, step.record.path) if table else None
        expiry_s = route.step_expiry_s if route is not None else 0.0
        return ScoringTask(
            sample_id=sample_id,
            scoring=scoring,
            step_attempts=route.attempts if route is not None else 1,
            expires_at_s=step.accepted_s + expiry_s if expiry_s else float("inf"),
            is_wanted=lambda: self.may_score(step),
            progress=step.get_attempts(sample_id).scoring,
            on_failure=lambda: self.on_failure(step),
        )
