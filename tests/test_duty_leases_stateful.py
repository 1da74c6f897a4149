"""No sequence of faults lets calls of duties arrive that break the platform's rules for holders."""

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balsamcleat.ports.duties import Duty
from duty_world import GAP_S, DutyVm, DutyWorld
from step_world import run_in_virtual_time

# The platform's lease time; the margin of 0.2 s covers clocks and the network.
MIN_GAP_S = GAP_S + 0.2
# Time in which the next holder performs its duty after the end of all faults.
AFTERMATH_S = 6.0
# Time after which the duties are performed again once all faults are over: a lease term, a yield
# of the only VM that reached the platform, and the wait after the previous holder.
RECOVERY_S = 13.0
LAST_CALLS_S = 2.0
FAULTS = (
    DutyWorld.freeze,
    DutyWorld.cut_store,
    DutyWorld.cut_link,
    DutyWorld.slow_store,
    DutyWorld.slow_connections,
    DutyWorld.kill,
    DutyWorld.lose_responses,
    DutyWorld.hold_commits,
    DutyWorld.deliver_held,
    DutyWorld.lose_calls,
    DutyWorld.stop_platform,
    DutyWorld.release_leases,
)
# A fault hits one of the VMs or the holder of a lease.
VICTIMS = (0, 1, 2, Duty.USAGE, Duty.USAGE, Duty.SCALING, Duty.SCALING)
DURATIONS_S = (0.1, 0.6, 1.1, 1.6, 2.3, 3.4, 6.0)
PAUSES_S = (0.0, 0.05, 0.3, 0.9, 2.0, 4.0)
FAULT = st.tuples(
    st.sampled_from(FAULTS),
    st.sampled_from(VICTIMS),
    st.sampled_from(DURATIONS_S),
    st.sampled_from(PAUSES_S),
)
PLANS = st.lists(FAULT, min_size=8, max_size=25)
SEEDS = st.integers(0, 1000)
# A play takes a part of a second, which the health checks count as slow.
PLAYS = settings(
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


def victim_of(world: DutyWorld, choice: object) -> DutyVm:
    if isinstance(choice, Duty):
        return world.holder(choice) or world.vms[0]
    assert isinstance(choice, int)
    return world.vms[choice]


def play(plan: list[tuple], seed: int, aftermath_s: float) -> set[tuple[str, ...]]:
    """Play faults in virtual time and check the rules for every call that arrived.

    Returns:
        Subjects of the calls that arrived at the end.
    """

    async def test() -> set[tuple[str, ...]]:
        world = DutyWorld(seed=seed)

        async def scenario() -> None:
            await anyio.sleep(1.0)
            async with anyio.create_task_group() as faults:
                for fault, choice, seconds, pause_s in plan:
                    faults.start_soon(fault, world, victim_of(world, choice), seconds)
                    await anyio.sleep(pause_s)
            world.heal()
            await anyio.sleep(aftermath_s)

        await world.run(scenario)
        assert world.platform.calls
        assert not world.platform.malformed
        assert not world.platform.broken_rules()
        assert world.shortest_gap_s() >= MIN_GAP_S
        since_s = anyio.current_time() - LAST_CALLS_S
        return {call.subject for call in world.platform.calls if call.at_s > since_s}

    return run_in_virtual_time(test)


@settings(PLAYS, max_examples=150)
@given(plan=PLANS, seed=SEEDS)
def test_no_interleaving_of_faults_breaks_a_rule(plan: list[tuple], seed: int) -> None:
    """Guards against calls of two holders that are too close, in any order of faults."""
    play(plan, seed, AFTERMATH_S)


@settings(PLAYS, max_examples=30)
@given(plan=PLANS, seed=SEEDS)
def test_duties_are_performed_again_after_all_faults(plan: list[tuple], seed: int) -> None:
    """Guards against a lease that no VM takes, or that a holder keeps without performing."""
    assert len(play(plan, seed, RECOVERY_S)) == 3
