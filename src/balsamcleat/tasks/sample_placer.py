"""Starts the waiting samples of steps on targets, and moves running ones to better targets."""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from balsamcleat.decisions.engine_ranking import EngineView, fastest_event_interval_s
from balsamcleat.decisions.sample_placement import (
    Placement,
    WaitingSample,
    find_moves,
    place_samples,
)
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.model import ServiceName
from balsamcleat.model.routing import Route
from balsamcleat.tasks.late_step_watch import update_group_positions
from balsamcleat.tasks.placement_view import PlacementView
from balsamcleat.tasks.sample_resumption import SampleResumption
from balsamcleat.tasks.step_groups import RoutedStep, StepGroup, group_steps

__all__ = ["PLACEMENT_INTERVAL_S", "SamplePlacer"]

# Longest time between two placements. A change triggers a placement at once; the interval covers
# conditions that only the passing of time changes, such as retry delays and expiry.
PLACEMENT_INTERVAL_S = 0.1


class SamplePlacer:
    """Applies the decisions on the placement of samples to the steps that this VM owns.

    Args:
        view: Builds the input of the decisions.
        resumption: Begins samples anew that nothing can continue.
        limits: Limits that the targets name.
        start: Starts a sample on a target, for a step with a route.
        move: Moves a running sample to a target.
    """

    def __init__(
        self,
        view: PlacementView,
        resumption: SampleResumption,
        limits: TargetLimits,
        start: Callable[[Placement, Route], None],
        move: Callable[[Placement], None],
    ) -> None:
        self.view = view
        self.resumption = resumption
        self.limits = limits
        self.start = start
        self.move = move
        # Time of the last check for samples to move, on the process clock.
        self.last_move_check_s = float("-inf")

    def place(self, steps: list[RoutedStep], now_s: float) -> None:
        """Start waiting samples, and at intervals move running ones."""
        backlogs: Counter[ServiceName] = Counter()
        may_move = now_s - self.last_move_check_s >= PLACEMENT_INTERVAL_S
        if may_move:
            self.last_move_check_s = now_s
        for group in group_steps(steps):
            for item in group.steps:
                self.resumption.begin_anew_where_stranded(item.step, item.route)
            waiting = self.waiting_samples(group, now_s)
            if not waiting and not may_move:
                continue
            backlogs.update(sample.requirements.services[0] for sample in waiting)
            engines = self.view.engines(group.services, now_s)
            # Where targets report no pace, steps keep the order in which they start their samples.
            if may_move and self.view.reports_pace(group.services, now_s):
                # Applies from the next placement on. At the moment when the last runs of a step
                # have ended, there is no forecast, and its samples must keep their order.
                update_group_positions(group.steps, fastest_event_interval_s(engines), now_s)
            self.place_waiting(group, waiting, engines, now_s)
            if may_move:
                self.move_running(group, engines)
        self.limits.record_backlogs(backlogs)

    def waiting_samples(self, group: StepGroup, now_s: float) -> list[WaitingSample]:
        """Return the samples of a group's steps that may start now."""
        return [
            sample
            for item in group.steps
            for sample in self.view.waiting_samples(item.step, item.route, now_s)
        ]

    def place_waiting(
        self,
        group: StepGroup,
        waiting: list[WaitingSample],
        engines: list[EngineView],
        now_s: float,
    ) -> None:
        """Start the waiting samples for which an engine is free."""
        steps = {item.step.step_id: item for item in group.steps}
        placements = place_samples(waiting, engines)
        for placement in placements:
            self.start(placement, steps[placement.step_id].route)
        if len(placements) == len(waiting):
            return
        self.record_waits(engines, now_s)
        placed = {(placement.step_id, placement.sample_id) for placement in placements}
        unplaced = [item for item in waiting if (item.step_id, item.sample_id) not in placed]
        self.resumption.end_long_waits(steps, unplaced, engines)

    def move_running(self, group: StepGroup, engines: list[EngineView]) -> None:
        """Move running samples of a group's steps to better targets."""
        running = [
            sample
            for item in group.steps
            for sample in self.view.movable_samples(item.step, item.route)
        ]
        for move in find_moves(running, engines):
            self.move(move)

    def record_waits(self, engines: Iterable[EngineView], now_s: float) -> None:
        """Record at the limits of engines that samples wait for them."""
        for engine in engines:
            if not math.isinf(engine.sendable):
                self.limits.record_wait(engine.target_id, now_s, is_live=False)
