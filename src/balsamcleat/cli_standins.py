"""The commands that start one stand-in by hand."""

from dataclasses import dataclass
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from balsamcleat.standins.by_hand import (
    TargetPlace,
    TrainerPlan,
    put_entry_vm,
    run_engine,
    run_platform,
    run_scorer,
    run_service,
    run_trainer,
)

__all__ = ["stand_in"]

stand_in = App(
    name="stand-in",
    help="""Run one small stand-in by hand, to try the system without the real thing.

    Start the platform first, then targets, then nodes, then a trainer:

        balsamcleat stand-in platform --port 8000
        balsamcleat stand-in engine --service model --vm-id e-0 --availability-zone zone-a \\
            --port 8101 --platform-url http://127.0.0.1:8000
        balsamcleat stand-in trainer --deployment rollouts --url http://127.0.0.1:8080

    Flaws are switched at the start by --flaws '{"load_lag_s": 2}' or while it runs by
    `curl -X PUT --data '{"refuse": true}' http://127.0.0.1:8101/flaws`; GET lists them.
    """,
    help_format="plaintext",
)


@Parameter(name="*")
@dataclass(frozen=True)
class PlaceOptions:
    """Where a target runs and what it serves.

    Attributes:
        service: The service it serves, as the configuration names it.
        port: The loopback port; 0 takes a free one.
        platform_url: The platform's base URL.
        vm_id: The target's id.
        availability_zone: Its availability zone.
        restart_after_s: Seconds from a crash to its restart; 0 stays away.
        flaws: JSON object of flaws to begin with.
    """

    service: str
    platform_url: str
    vm_id: str
    availability_zone: str
    port: int = 0
    restart_after_s: float = 0.0
    flaws: str = "{}"

    def place(self) -> TargetPlace:
        """Return it for the stand-ins."""
        return TargetPlace(
            service=self.service,
            port=self.port,
            platform_url=self.platform_url,
            vm_id=self.vm_id,
            zone=self.availability_zone,
            restart_after_s=self.restart_after_s,
            flaws=self.flaws,
        )


@stand_in.command
def platform(*, port: int, flaws: str = "{}") -> None:
    """Run the platform: transactional table, object store, VM list and weight store.

    Args:
        port: The loopback port.
        flaws: JSON object of flaws to begin with, such as {"delay_s": 0.5}.
    """
    anyio.run(run_platform, port, flaws)


@stand_in.command
def vm(
    *,
    vm_id: str,
    availability_zone: str,
    http_address: str,
    peer_address: str,
    platform_url: str,
    leaving: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Put an entry VM on the platform's VM list, from which nodes learn of each other.

    Args:
        vm_id: The entry VM's id, as in its settings.
        availability_zone: Its availability zone, as in its settings.
        http_address: Its HTTP address, as in its settings.
        peer_address: Its peer address, as in its settings.
        platform_url: The platform's base URL.
        leaving: Call it leaving, as the platform does before it takes a VM away.
    """

    async def put() -> None:
        await put_entry_vm(
            platform_url, vm_id, availability_zone, http_address, peer_address, leaving=leaving
        )

    anyio.run(put)


@stand_in.command
def engine(*, place: PlaceOptions, capacity: int = 16, token_interval_s: float = 0.005) -> None:
    """Run one model engine and put it on the platform's VM list.

    Args:
        place: Where it runs and what it serves.
        capacity: Requests that fit in its batch.
        token_interval_s: Time that it takes for a frame of tokens, in seconds.
    """
    anyio.run(run_engine, place.place(), capacity, token_interval_s)


@stand_in.command
def service(*, place: PlaceOptions) -> None:
    """Run one plain service's replica; GET /runs tells how often each call ran."""
    anyio.run(run_service, place.place())


@stand_in.command
def scorer(*, place: PlaceOptions) -> None:
    """Run one service that scores samples."""
    anyio.run(run_scorer, place.place())


@stand_in.command
def trainer(
    *,
    url: Annotated[tuple[str, ...], Parameter(env_var="BALSAMCLEAT_URL", negative="")],
    deployment: str,
    steps: int = 1,
    groups: int = 8,
    size: int = 4,
    scorer: str = "",
    weight_version: int = 1,
    train_s: float = 0.0,
    token: Annotated[str, Parameter(env_var="BALSAMCLEAT_TOKEN", show_default=False)] = "",
) -> None:
    """Run one trainer: open steps, pull their batches, report a new version after each step.

    Args:
        url: Base URL of an entry VM; give several for it to go on when one fails.
        deployment: The rollout deployment, as the configuration names it.
        steps: How many steps.
        groups: Groups of samples in a step.
        size: Samples in a group.
        scorer: The scoring service, or none.
        weight_version: The version that it begins with.
        train_s: Time that it trains on each batch, in seconds.
        token: Its team's bearer token.
    """
    plan = TrainerPlan(
        urls=tuple(url),
        deployment=deployment,
        steps=steps,
        groups=groups,
        size=size,
        scorer=scorer or None,
        weight_version=weight_version,
        train_s=train_s,
        token=token,
    )
    anyio.run(run_trainer, plan)
