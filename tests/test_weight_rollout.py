"""Schedule of weight loads, tested with simulated trainers and compared with a baseline."""

from dataclasses import dataclass, field

from balsamcleat.decisions.weight_rollout import (
    EngineWeights,
    ModelDemand,
    assign_engines,
    engine_quotas,
    max_concurrent_loads,
    next_load_orders,
)
from balsamcleat.model import TargetId, WeightVersion

LOAD_S = 0.9
TICK_S = 0.1
# A step starts its samples within this time; the engines that it can use then are counted.
STEP_START_S = 0.25


def engines(count: int, models: tuple[str, ...] = ("m",), version: int = 1) -> list[EngineWeights]:
    return [
        EngineWeights(TargetId(f"e{number}"), {model: WeightVersion(version) for model in models})
        for number in range(count)
    ]


def test_concurrent_loads_are_two_of_few_engines_or_a_share_of_many() -> None:
    assert [max_concurrent_loads(count) for count in (1, 5, 6, 23)] == [2, 2, 2, 9]


def test_each_model_has_one_engine_and_more_in_proportion_to_its_work() -> None:
    demands = [
        ModelDemand(model, WeightVersion(2), 0.0, work_share=work_share)
        for model, work_share in zip("abc", (8, 10, 5), strict=True)
    ]
    assert engine_quotas(5, demands) == {"a": 2, "b": 2, "c": 1}
    assert sum(engine_quotas(23, demands).values()) == 23
    assert engine_quotas(2, demands) == {"a": 1, "b": 1, "c": 1}


def test_engines_stay_assigned_to_the_model_whose_newest_version_they_have() -> None:
    demands = [ModelDemand(m, WeightVersion(5), 1.0) for m in "ab"]
    engine_weights = engines(4, ("a", "b"))
    engine_weights[0].versions["a"] = engine_weights[2].versions["a"] = WeightVersion(5)
    engine_weights[1].versions["b"] = engine_weights[3].versions["b"] = WeightVersion(5)
    assigned = assign_engines(engine_weights, demands)
    assert sorted(assigned["a"]) == ["e0", "e2"]
    assert sorted(assigned["b"]) == ["e1", "e3"]


def test_engine_that_no_open_step_can_use_loads_first() -> None:
    engine_weights = engines(6)
    engine_weights[3].versions["m"] = WeightVersion(0)
    demand = ModelDemand("m", WeightVersion(2), 2.0, open_step_minimums=(WeightVersion(1),))
    assert next_load_orders(engine_weights, [demand])[0].target_id == "e3"


def test_no_engine_loads_before_the_step_of_the_version_has_started_its_samples() -> None:
    just_named = ModelDemand("m", WeightVersion(2), 0.1)
    assert next_load_orders(engines(6), [just_named]) == []
    placed = ModelDemand("m", WeightVersion(2), 0.4, open_step_minimums=(WeightVersion(1),))
    assert len(next_load_orders(engines(6), [placed])) == 2
    assert len(next_load_orders(engines(1), [placed])) == 1


def test_half_of_the_engines_of_a_model_keep_starting_samples() -> None:
    placed = ModelDemand("m", WeightVersion(2), 0.4, open_step_minimums=(WeightVersion(1),))
    engine_weights = engines(2)
    assert len(next_load_orders(engine_weights, [placed])) == 1
    engine_weights[0] = EngineWeights(
        engine_weights[0].target_id, engine_weights[0].versions, {"m": WeightVersion(2)}
    )
    assert next_load_orders(engine_weights, [placed]) == []


def test_engine_that_became_slow_is_assigned_last() -> None:
    engine_weights = engines(4, ("a", "b"))
    engine_weights[0] = EngineWeights(
        engine_weights[0].target_id, engine_weights[0].versions, is_slow=True
    )
    demands = [ModelDemand(m, WeightVersion(2), 1.0, work_share=1.0) for m in "ab"]
    assigned = assign_engines(engine_weights, demands)
    assert engine_weights[0].target_id in (assigned["a"][-1], assigned["b"][-1])


@dataclass
class TrainerSimulation:
    """Simulation of trainers on shared engines that repeatedly submit, run, train and announce."""

    count: int
    models: tuple[str, ...]
    step_s: float = 3.0
    train_s: float = 1.0
    versions: dict[str, dict[str, int]] = field(default_factory=dict)
    loading: dict[str, tuple[str, int, float]] = field(default_factory=dict)

    def run(self, duration_s: float, next_loads) -> tuple[float, int]:
        """Return the mean share of its engines that a step can use, and the number of loads."""
        engine_names = [f"e{number}" for number in range(self.count)]
        self.versions = {name: {model: 1 for model in self.models} for name in engine_names}
        period_s = self.step_s + self.train_s
        shares: list[float] = []
        loads = 0
        now_s = 0.0
        while now_s < duration_s:
            demands = []
            for index, model in enumerate(self.models):
                elapsed_s = now_s + index * period_s / len(self.models)
                named_version = 2 + int(elapsed_s / period_s)
                named_age_s = elapsed_s % period_s
                is_open = named_age_s < self.step_s
                oldest = (WeightVersion(named_version - 1),) if is_open else ()
                demands.append(
                    ModelDemand(model, WeightVersion(named_version), named_age_s, oldest)
                )
                if is_open and named_age_s < STEP_START_S:
                    usable = sum(
                        self.versions[name][model] >= named_version - 1
                        and self.loading.get(name, ("",))[0] != model
                        for name in engine_names
                    )
                    shares.append(min(1.0, usable / (self.count / len(self.models))))
            for name, (model, version, end_s) in list(self.loading.items()):
                if now_s >= end_s:
                    self.versions[name][model] = version
                    del self.loading[name]
            for name, model, version in next_loads(engine_names, demands, self):
                self.loading[name] = (model, version, now_s + LOAD_S)
                loads += 1
            now_s += TICK_S
        return sum(shares) / len(shares), loads


def schedule_under_test(engine_names, demands, simulation: TrainerSimulation):
    engine_weights = [
        EngineWeights(
            TargetId(name),
            {model: WeightVersion(version) for model, version in simulation.versions[name].items()},
            {simulation.loading[name][0]: WeightVersion(0)} if name in simulation.loading else {},
        )
        for name in engine_names
    ]
    return [
        (order.target_id, order.model, order.version)
        for order in next_load_orders(engine_weights, demands)
    ]


def load_every_model_everywhere(engine_names, demands, simulation: TrainerSimulation):
    """Baseline: every engine loads every model as soon as the limit on loads allows."""
    free_loads = max_concurrent_loads(len(engine_names)) - len(simulation.loading)
    candidates = [
        (name, demand.model, demand.named_version)
        for demand in demands
        for name in engine_names
        if name not in simulation.loading
        and simulation.versions[name][demand.model] < demand.named_version
    ]
    load_by_engine: dict[str, tuple] = {}
    for load in candidates:
        load_by_engine.setdefault(load[0], load)
    return list(load_by_engine.values())[: max(0, free_loads)]


def test_three_trainers_on_five_engines_have_enough_engines_with_fewer_loads() -> None:
    share, loads = TrainerSimulation(5, ("a", "b", "c")).run(40.0, schedule_under_test)
    baseline_share, baseline_loads = TrainerSimulation(5, ("a", "b", "c")).run(
        40.0, load_every_model_everywhere
    )
    assert share >= baseline_share
    assert loads < 0.8 * baseline_loads


def test_single_trainer_can_use_more_engines_than_with_the_baseline() -> None:
    share, _ = TrainerSimulation(6, ("a",)).run(40.0, schedule_under_test)
    baseline_share, _ = TrainerSimulation(6, ("a",)).run(40.0, load_every_model_everywhere)
    assert share > baseline_share
