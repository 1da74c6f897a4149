"""The deployments that the demonstration can show."""

from balsamcleat.standins.cluster import ClusterShape

__all__ = ["SHAPES"]

SHAPES = {
    "liedtafel": ClusterShape(
        region="ch-mittelland",
        zones=("bern-a", "bern-b", "bern-c"),
        nodes_per_zone=2,
        engine_service="kantor-llm",
        engines=6,
        plain_service="tafel-app",
        plain_targets=3,
        idle_weight=0.8,
    ),
    "redaktionsen": ClusterShape(
        region="sofia",
        zones=("sofia-a", "sofia-b", "sofia-c", "sofia-d"),
        nodes_per_zone=2,
        engine_service="drafting-pool",
        engines=5,
        plain_service="letters-intake",
        plain_targets=4,
        idle_weight=0.2,
    ),
}
