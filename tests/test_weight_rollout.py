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
        ModelDemand(m, WeightVersion(2), 0.0, work_share=w)
        for m, w in zip("abc", (8, 10, 5), strict=True)
    ]
    assert engine_quotas(5, demands) == {"a": 2, "b": 2, "c": 1}
    assert sum(engine_quotas(23, demands).values()) == 23
    assert engine_quotas(2, demands) == {"a": 1, "b": 1, "c": 1}


def test_engines_stay_assigned_to_the_model_whose_newest_version_they_have() -> None:
    demands = [ModelDemand(m, WeightVersion(5), 1.0) for m in "ab"]
    found = engines(4, ("a", "b"))
    found[0].versions["a"] = found[2].versions["a"] = WeightVersion(5)
    found[1].versions["b"] = found[3].versions["b"] = WeightVersion(5)
    assigned = assign_engines(found, demands)
    assert sorted(assigned["a"]) == ["e0", "e2"]
    assert sorted(assigned["b"]) == ["e1", "e3"]


def test_engine_that_no_open_step_can_use_loads_first() -> None:
    found = engines(6)
    found[3].versions["m"] = WeightVersion(0)
    demand = ModelDemand("m", WeightVersion(2), 2.0, open_step_minimums=(WeightVersion(1),))
    assert next_load_orders(found, [demand])[0].target_id == "e3"


def test_no_engine_loads_before_the_step_of_the_version_has_started_its_samples() -> None:
    just_named = ModelDemand("m", WeightVersion(2), 0.1)
    assert next_load_orders(engines(6), [just_named]) == []
    placed = ModelDemand("m", WeightVersion(2), 0.4, open_step_minimums=(WeightVersion(1),))
    assert len(next_load_orders(engines(6), [placed])) == 2
    assert len(next_load_orders(engines(1), [placed])) == 1


def test_half_of_the_engines_of_a_model_keep_starting_samples() -> None:
    placed = ModelDemand("m", WeightVersion(2), 0.4, open_step_minimums=(WeightVersion(1),))
    found = engines(2)
    assert len(next_load_orders(found, [placed])) == 1
    found[0] = EngineWeights(found[0].target_id, found[0].versions, {"m": WeightVersion(2)})
    assert next_load_orders(found, [placed]) == []


def test_engine_that_became_slow_is_assigned_last() -> None:
    found = engines(4, ("a", "b"))
    found[0] = EngineWeights(found[0].target_id, found[0].versions, is_slow=True)
    demands = [ModelDemand(m, WeightVersion(2), 1.0, work_share=1.0) for m in "ab"]
    assigned = assign_engines(found, demands)
    assert found[0].target_id in (assigned["a"][-1], assigned["b"][-1])


@dataclass
class TrainerSimulation:
    """Simulation of trainers on shared engines that repeatedly submit, run, train and announce."""

    count: int
    models: tuple[str, ...]
    step_s: float = 3.0
    train_s: float = 1.0
    versions: dict[str, dict[str, int]] = field(default_factory=dict)
    loading: dict[str, tuple[str, int, float]] = field(default_factory=dict)

    def run(self, length_s: float, decide) -> tuple[float, int]:
        """Return the mean share of its engines that a step can use, and the number of loads."""
        names = [f"e{number}" for number in range(self.count)]
        self.versions = {name: {model: 1 for model in self.models} for name in names}
        period = self.step_s + self.train_s
        shares: list[float] = []
        loads = 0
        at = 0.0
        while at < length_s:
            demands = []
            for place, model in enumerate(self.models):
                passed = at + place * period / len(self.models)
                named = 2 + int(passed / period)
                since = passed % period
                is_open = since < self.step_s
                oldest = (WeightVersion(named - 1),) if is_open else ()
                demands.append(ModelDemand(model, WeightVersion(named), since, oldest))
                if is_open and since < STEP_START_S:
                    usable = sum(
                        self.versions[name][model] >= named - 1
                        and self.loading.get(name, ("",))[0] != model
                        for name in names
                    )
                    shares.append(min(1.0, usable / (self.count / len(self.models))))
            for name, (model, version, until) in list(self.loading.items()):
                if at >= until:
                    self.versions[name][model] = version
                    del self.loading[name]
            for name, model, version in decide(names, demands, self):
                self.loading[name] = (model, version, at + LOAD_S)
                loads += 1
            at += TICK_S
        return sum(shares) / len(shares), loads


def schedule_under_test(names, demands, simulation: TrainerSimulation):
    known = [
        EngineWeights(
            TargetId(name),
            {model: WeightVersion(version) for model, version in simulation.versions[name].items()},
            {simulation.loading[name][0]: WeightVersion(0)} if name in simulation.loading else {},
        )
        for name in names
    ]
    return [(o.target_id, o.model, o.version) for o in next_load_orders(known, demands)]


def all_everywhere(names, demands, simulation: TrainerSimulation):
    """Baseline: every engine loads every model as soon as the limit on loads allows."""
    room = max_concurrent_loads(len(names)) - len(simulation.loading)
    found = [
        (name, demand.model, demand.named_version)
        for demand in demands
        for name in names
        if name not in simulation.loading
        and simulation.versions[name][demand.model] < demand.named_version
    ]
    taken: dict[str, tuple] = {}
    for entry in found:
        taken.setdefault(entry[0], entry)
    return list(taken.values())[: max(0, room)]


def test_three_trainers_on_five_engines_have_enough_engines_with_fewer_loads() -> None:
    share, loads = TrainerSimulation(5, ("a", "b", "c")).run(40.0, schedule_under_test)
    simple_share, simple_loads = TrainerSimulation(5, ("a", "b", "c")).run(40.0, all_everywhere)
    assert share >= simple_share
    assert loads < 0.8 * simple_loads


def test_single_trainer_can_use_more_engines_than_with_the_baseline() -> None:
    share, _ = TrainerSimulation(6, ("a",)).run(40.0, schedule_under_test)
    simple_share, _ = TrainerSimulation(6, ("a",)).run(40.0, all_everywhere)
    assert share > simple_share
