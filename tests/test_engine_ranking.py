"""Places for many samples at many engines: as good as looking at every engine, at far less cost."""

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


def some_engines(rng: random.Random, count: int, prompts: int = 30) -> list[EngineView]:
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


def some_samples(rng: random.Random, count: int) -> list[WaitingSample]:
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


def by_looking_at_all(
    waiting: list[WaitingSample], engines: list[EngineView]
) -> list[tuple[str, str]]:
    """The plain way: the cheapest of all engines for each sample."""
    fastest_s = fastest_event_interval_s(engines)
    found = []
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
            found.append((sample.sample_id, engine.target_id))
    return found


@pytest.mark.parametrize("seed", range(20))
def test_the_places_are_those_that_looking_at_all_engines_gives(seed: int) -> None:
    samples = some_samples(random.Random(seed), 150)
    plain = by_looking_at_all(samples, some_engines(random.Random(seed), 40))
    placed = place_samples(samples, some_engines(random.Random(seed), 40))
    assert [(item.sample_id, item.target_id) for item in placed] == plain


def test_a_thousand_samples_on_three_thousand_engines_cost_some_looks_each(monkeypatch) -> None:
    """Looking at all takes three million costs, seconds of the owner's core."""
    looks = 0
    cost = engine_ranking.engine_cost

    def counted(engine: EngineView, fastest_s: float) -> float:
        nonlocal looks
        looks += 1
        return cost(engine, fastest_s)

    monkeypatch.setattr(engine_ranking, "engine_cost", counted)
    rng = random.Random(1)
    engines = some_engines(rng, 3_000, prompts=3_000)
    assert len(place_samples(some_samples(rng, 1_000), engines)) == 1_000
    # Six kinds of sample have an order each, and each sample looks at a few engines.
    assert looks < 6 * 3_000 + 12 * 1_000


def test_passes_take_a_bounded_share_of_the_time() -> None:
    assert delay_after_pass(0.0) == 0.0
    assert 0.01 / (0.01 + delay_after_pass(0.01)) == pytest.approx(MAX_PASS_SHARE)
    assert delay_after_pass(10.0) == MAX_DELAY_S
