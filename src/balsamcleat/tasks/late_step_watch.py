"""Sets the order in which groups of late steps are started."""

import structlog

from balsamcleat.decisions.late_steps import StepWork, expected_ends_s, order_groups
from balsamcleat.decisions.step_order import expected_remaining_tokens
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.placement_view import TOKENS_PER_EVENT
from balsamcleat.tasks.step_groups import RoutedStep

__all__ = ["update_group_positions"]

log = structlog.get_logger()


def update_group_positions(steps: list[RoutedStep], event_interval_s: float, now_s: float) -> None:
    """Set the order of groups of each step that is expected to be late, and reset that of others.

    Args:
        steps: Owned steps that share their targets, and their routes.
        event_interval_s: Interval between two events of a stream in seconds; 0 if unknown.
        now_s: Time on the process clock.
    """
    ordered = sorted(steps, key=lambda item: item.step.accepted_s)
    remaining = [remaining_tokens(item.step) for item in ordered]
    work = [
        StepWork(
            now_s - item.step.accepted_s,
            sum(left.values()) / TOKENS_PER_EVENT,
            len(item.step.running),
        )
        for item, left in zip(ordered, remaining, strict=True)
    ]
    ends_s = expected_ends_s(work, event_interval_s)
    for item, left, end_s in zip(ordered, remaining, ends_s, strict=True):
        step, route = item.step, item.route
        is_late = bool(route.step_deadline_s) and end_s > route.step_deadline_s
        if is_late and not step.group_positions:
            log.info(
                "step expected late",
                step=step.step_id,
                expected_end_s=round(end_s, 2),
                due_s=route.step_deadline_s,
                running=len(step.running),
                unfinished=len(left),
            )
        elif step.group_positions and not is_late:
            log.info("step expected in time", step=step.step_id, expected_end_s=round(end_s, 2))
        step.group_positions = (
            order_groups(step.step.samples, left, step.carried_groups) if is_late else {}
        )


def remaining_tokens(step: OwnedStep) -> dict[str, float]:
    """Return the expected number of tokens left of each unfinished sample, by id."""
    left = {}
    for sample_id, sample in step.samples.items():
        if sample_id not in step.done and sample_id not in step.unscored:
            progress = step.progress.get(sample_id)
            generated = len(progress.events) * TOKENS_PER_EVENT if progress is not None else 0.0
            left[sample_id] = expected_remaining_tokens(sample, generated)
    return left
