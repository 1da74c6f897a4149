"""Assignment of samples by heaps equals an exhaustive search, at a far lower cost."""

import random

import pytest

from balsamcleat.decisions import engine_ranking
from balsamcleat.decisions.engine_ranking import (
    PROMPT_BONUS,
    EngineView,
    SampleRequirements,
    can_take,
    engine_cost,
    fastest_event_interval_s,
)
from balsamcleat.decisions.pass_pacing import MAX_DELAY_S, MAX_PASS_SHARE, delay_after_pass
from balsamcleat.decisions.sample_placement import WaitingSample, place_samples
from balsamcleat.decisions.step_order import SampleRank
from balsamcleat.model import StepId, TargetId, WeightVersion

STEP = StepId("s")
MODELS = ("m1", "m2")


def random_engines(rng: random.Random, count: int, prompts: int = 30) -> list[EngineView]:
    return [
        EngineView(
            target_id=TargetId(f"e{number}"),
            slots=8,
            load=float(rng.randrange(9)),
            event_interval_s=rng.choice((0.0, 0.04, 0.05, 0.2)),
            loaded_versions={model: WeightVersion(rng.randrange(1, 4)) for model in MODELS},
            loading_models=frozenset({"m1"}) if rng.random() < 0.2 else frozenset(),
            is_usable=rng.random() < 0.9,
            is_local=rng.random() < 0.3,
            recent_prompts={f"p{rng.randrange(prompts)}" for _ in range(3)},
        )
        for number in range(count)
    ]


def random_samples(rng: random.Random, count: int) -> list[WaitingSample]:
    return [
        WaitingSample(
            STEP,
            f"x{number}",
            SampleRequirements(rng.choice(MODELS), WeightVersion(rng.randrange(1, 4))),
            f"p{number // 8}",
            (0.0, SampleRank(rng.random(), number)),
        )
        for number in range(count)
    ]


def assign_exhaustively(
    waiting: list[WaitingSample], engines: list[EngineView]
) -> list[tuple[str, str]]:
    """Assign each sample to the engine with the lowest cost by an exhaustive search."""
    fastest_s = fastest_event_interval_s(engines)
    assignments = []
    for sample in sorted(waiting, key=lambda item: item.rank):
        costs = []
        for number, engine in enumerate(engines):
            if can_take(engine, sample.requirements):
                bonus = PROMPT_BONUS if sample.prompt_id in engine.recent_prompts else 0.0
                costs.append((engine_cost(engine, fastest_s) - bonus, number))
        if costs:
            engine = engines[min(costs)[1]]
            engine.load += 1.0
            assert isinstance(engine.recent_prompts, set)
            engine.recent_prompts.add(sample.prompt_id)
            assignments.append((sample.sample_id, engine.target_id))
    return assignments


@pytest.mark.parametrize("seed", range(20))
def test_assignment_equals_that_of_an_exhaustive_search(seed: int) -> None:
    samples = random_samples(random.Random(seed), 150)
    expected = assign_exhaustively(samples, random_engines(random.Random(seed), 40))
    placements = place_samples(samples, random_engines(random.Random(seed), 40))
    assert [(placement.sample_id, placement.target_id) for placement in placements] == expected


def test_thousand_samples_on_three_thousand_engines_need_few_comparisons(monkeypatch) -> None:
    """An exhaustive search computes three million costs, seconds of the step owner's core."""
    cost_calls = 0
    original_cost = engine_ranking.engine_cost

    def counted_engine_cost(engine: EngineView, fastest_s: float) -> float:
        nonlocal cost_calls
        cost_calls += 1
        return original_cost(engine, fastest_s)

    monkeypatch.setattr(engine_ranking, "engine_cost", counted_engine_cost)
    rng = random.Random(1)
    engines = random_engines(rng, 3_000, prompts=3_000)
    assert len(place_samples(random_samples(rng, 1_000), engines)) == 1_000
    # Each of the six sets of requirements has a heap, and each sample compares a few engines.
    assert cost_calls < 6 * 3_000 + 12 * 1_000


def test_assignment_passes_use_a_bounded_share_of_the_time() -> None:
    assert delay_after_pass(0.0) == 0.0
    assert 0.01 / (0.01 + delay_after_pass(0.01)) == pytest.approx(MAX_PASS_SHARE)
    assert delay_after_pass(10.0) == MAX_DELAY_S
