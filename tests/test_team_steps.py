"""Steps of teams: who may access them, for whom their samples run, and what is stored of them."""

import base64
import json
import zlib
from collections.abc import Callable
from dataclasses import replace

import anyio
import msgspec
import pytest
from structlog.testing import capture_logs

import step_world as w
from balsamcleat.http1 import Request
from balsamcleat.model import StepId, TargetId, TeamName, WeightVersion
from balsamcleat.model.rollout import SampleTask
from balsamcleat.model.routing import Route, RoutingTable, TeamSpec
from balsamcleat.model.team_keys import key_digest
from balsamcleat.platform import decode_step, sample_request_headers, without_sample_credentials
from balsamcleat.ports.rows import RowChange, RowKey, RowWrite
from balsamcleat.tasks.rollout_records import (
    STEPS_TABLE,
    OwnerRecord,
    decode_owner,
    encode_owner,
    owner_key,
)
from balsamcleat.tasks.step_submission import StepSubmission
from balsamcleat.tasks.stored_values import decode_value, encode_value
from balsamcleat.tasks.submission_handler import carryover_part
from step_dispatch import dispatch
from test_step_ownership import run_test

KEY = "rjvz48wuakn2ftimaj3n"
TEAM, OTHER_TEAM = TeamName("huka270"), TeamName("puhu251")
TEAMS = (
    TeamSpec(TEAM, frozenset({key_digest(KEY), key_digest("second")})),
    TeamSpec(OTHER_TEAM, frozenset({key_digest("p1")})),
)
TEAMS_WITHOUT_KEY = (TeamSpec(TEAM, frozenset({key_digest("second")})), TEAMS[1])
STEP = StepId("step-1")
SAMPLES = 12
# What the previous build (commit 91fd965) stores of a step with two samples. The headers of the
# submission contain KEY and a team that the trainer made up.
PREVIOUS_OWNER = (
    b'{"vm":"old","boot":"boot","host":"team.example","path":"/rollouts/x","accepted_ms":0,'
    b'"samples":2,"model":"model","oldest_version":1,"work":34.0}'
)
PREVIOUS_SUBMISSION = base64.b64decode(
    "eAGNjj1OA0EMRq+ymjpLsoEC0UED9IgGURiNszthZzx4PPwkSsMRVhwhWiQEJ6BFnIsxAtHS+Xu2n/343CFY5PQ0"
    "bE8oyasg+B28Bx97HF4ORdBHqU/tmARj3QxvkKUjdisQR+H9CIGRK17ervb27zJch/lCnIflbhjGMwwQZFwQt2i3"
    "V2QfPj7XxpPF3hxUP8WkFC6clxeKr+CmAIGyIcdMOaaC5gUx3mRMovFibZxVwayemdKKIJ3GKVPfU5Y0bRW3uq68"
    "/Z7S85rMZlL9Cpp/Chr1/QkuN1+F2mnv"
)


class PreviousOwnerRecord(msgspec.Struct, frozen=True):
    """Owner record of the previous build."""

    vm: str
    boot: str
    host: str
    path: str
    accepted_ms: int
    samples: int
    model: str = ""
    oldest_version: WeightVersion = WeightVersion(0)
    work: float = 0.0


class PreviousSubmission(msgspec.Struct, frozen=True):
    """Submission of the previous build."""

    headers: tuple[tuple[str, str], ...]
    body: bytes


def table(teams: tuple[TeamSpec, ...] = TEAMS, route: Route = w.ROUTE) -> RoutingTable:
    return RoutingTable(w.TABLE.version, (route,), teams=teams)


@pytest.fixture
def use_table(monkeypatch: pytest.MonkeyPatch) -> Callable[[RoutingTable], None]:
    """Return a function that puts a configuration into force at all VMs."""

    def use(routing: RoutingTable) -> None:
        monkeypatch.setattr(w, "TABLE", routing)

    use(table())
    return use


def with_headers(request: Request, *headers: tuple[str, str]) -> Request:
    return replace(request, headers=(*request.headers, *headers))


def with_sample_headers(request: Request, headers: dict[str, str]) -> Request:
    fields = json.loads(request.body)
    for item in fields["requests"]:
        item["headers"] = headers
    return replace(request, body=json.dumps(fields).encode())


def write_previous_step(world: w.StepWorld, submission: bytes = PREVIOUS_SUBMISSION) -> None:
    """Store a step of a VM of the previous build that was killed."""
    world.store.version += 1
    world.store.write(RowWrite(RowKey("step-bodies", STEP, "body.0000.0001"), submission))
    world.store.write(RowWrite(owner_key(STEP), PREVIOUS_OWNER))
    world.store.changed.set()
    world.store.changed = anyio.Event()


def stored_values(world: w.StepWorld) -> list[bytes]:
    """Return the values of all rows ever written, unpacked."""
    values = []
    for change in world.store.history:
        value = change.value or b""
        values.append(zlib.decompress(value) if value.startswith(b"x") else value)
    return values


def test_step_exists_for_its_team_only(use_table) -> None:
    """Another team could read a trainer's results, or end its step."""

    async def test(world: w.StepWorld) -> None:
        vms = [await world.start("a"), await world.start("b")]
        assert await vms[0].submit(w.make_submission(3, 4, 3), TEAM) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        for vm in vms:
            assert await vm.read(STEP, team=TEAM) == 200
            assert await vm.read_body(STEP, "0-0", TEAM) == 200
            assert await vm.read(STEP, team=OTHER_TEAM) == 404
            assert await vm.read_body(STEP, "0-0", OTHER_TEAM) == 404
            assert await vm.end(STEP, OTHER_TEAM) == 404
            assert await vm.submit(w.make_submission(3, 4, 3), OTHER_TEAM) == 404
            assert await vm.submit(w.make_submission(3, 4, 3), TEAM) == 202
        await anyio.sleep(1.0)
        assert not w.owned_step(vms[0]).ended
        assert await vms[1].end(STEP, TEAM) == 200
        await anyio.sleep(1.0)
        assert w.owned_step(vms[0]).ended

    run_test(test)


def test_step_is_unknown_to_another_team_before_the_feed_delivers_it(use_table) -> None:
    async def test(world: w.StepWorld) -> None:
        vms = [await world.start("a"), await world.start("b")]
        assert await vms[0].submit(w.make_submission(3, 4, 3), TEAM) == 202
        vms[1].feed.steps.clear()
        assert await vms[1].read(STEP, team=OTHER_TEAM) == 404
        assert await vms[1].read(STEP, team=TEAM) == 200
        assert await vms[1].submit(w.make_submission(3, 4, 3), OTHER_TEAM) == 404
        assert await vms[1].read("unknown", team=TEAM) == 404

    run_test(test)


def test_samples_run_for_the_team_after_a_takeover_without_its_key(use_table) -> None:
    """Removing a key does not end a step, also if its owner is killed then."""

    async def test(world: w.StepWorld) -> None:
        first, second = await world.start("a"), await world.start("b")
        assert await first.submit(w.make_submission(3, 4, 3), TEAM) == 202
        await anyio.sleep(0.2)
        use_table(table(TEAMS_WITHOUT_KEY))
        world.kill(first)
        await world.wait_for_results(SAMPLES, 10.0)
        for vm in (first, second):
            assert set(vm.engines.teams) == {TEAM}
        assert await second.read(STEP, team=TEAM) == 200

    run_test(test)


def test_no_stored_row_and_no_log_line_contains_a_key(use_table) -> None:
    """Rows are read by all VMs and by operators, and they outlive the key."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        request = with_sample_headers(
            w.make_submission(3, 4, 3), {"AUTHORIZATION": f"Bearer {KEY}", "Model": "m"}
        )
        with capture_logs() as lines:
            assert await vm.submit(request, TEAM) == 202
            await world.wait_for_results(SAMPLES, 3.0)
            assert await vm.read_body(STEP, "0-0", TEAM) == 200
        values = stored_values(world)
        assert any(TEAM.encode() in value for value in values)
        assert not any(KEY.encode() in value for value in values)
        assert KEY not in repr(lines)

    run_test(test)


def test_step_from_before_the_teams_gets_its_team_by_the_digest_of_its_key(use_table) -> None:
    """A trainer that sends a key before the configuration has teams must not lose its step."""

    async def test(world: w.StepWorld) -> None:
        use_table(table(()))
        vms = [await world.start("a"), await world.start("b")]
        # More samples than slots, so that some start after the change.
        request = with_headers(w.make_submission(6, 4, 6), ("Authorization", f"Bearer {KEY}"))
        assert await vms[0].submit(request) == 202
        await anyio.sleep(0.1)
        assert set(vms[0].engines.teams) == {None}
        assert not any(KEY.encode() in value for value in stored_values(world))
        use_table(table())
        await world.wait_for_results(2 * SAMPLES, 3.0)
        assert set(vms[0].engines.teams) == {None, TEAM}
        for vm in vms:
            assert await vm.read(STEP, team=TEAM) == 200
            assert await vm.read(STEP, team=OTHER_TEAM) == 404
        use_table(table(TEAMS_WITHOUT_KEY))
        for vm in vms:
            assert await vm.read(STEP, team=TEAM) == 200

    run_test(test)


def test_step_of_the_previous_build_runs_for_the_team_of_its_key(use_table) -> None:
    """The team that its trainer made up proves nothing."""

    async def test(world: w.StepWorld) -> None:
        vms = [await world.start("a"), await world.start("b")]
        write_previous_step(world)
        await world.wait_for_results(2, 10.0)
        runs = [team for vm in vms for team in vm.engines.teams]
        assert set(runs) == {TEAM}
        for vm in vms:
            assert await vm.read(STEP, team=TEAM) == 200
            assert await vm.read(STEP, team=OTHER_TEAM) == 404

    run_test(test)


def test_step_of_the_previous_build_with_a_removed_key_waits_for_its_team(use_table) -> None:
    """It must not run without a team, nor be lost: another configuration may know the key."""

    async def test(world: w.StepWorld) -> None:
        use_table(table(TEAMS_WITHOUT_KEY))
        vm = await world.start("a")
        with capture_logs() as lines:
            write_previous_step(world)
            await anyio.sleep(5.0)
        waits = [line for line in lines if line["event"] == "step waits for its team"]
        assert [line["key"] for line in waits] == [key_digest(KEY)[:8]]
        assert KEY not in repr(lines)
        assert not vm.engines.runs
        assert await vm.read(STEP, team=TEAM) == 503
        use_table(table())
        await world.wait_for_results(2, 3.0)
        assert set(vm.engines.teams) == {TEAM}

    run_test(test)


def test_step_that_waits_for_its_team_expires(use_table) -> None:
    async def test(world: w.StepWorld) -> None:
        use_table(table(TEAMS_WITHOUT_KEY))
        vm = await world.start("a")
        write_previous_step(world)
        await anyio.sleep(w.ROUTE.step_expiry_s + 5.0)
        assert not vm.engines.runs
        assert len(await world.stored_results()) == 2

    run_test(test)


def test_owner_row_that_a_vm_of_the_previous_build_wrote_loses_no_team(use_table) -> None:
    """It decodes the row without the team, and writes it with itself as the owner."""

    async def test(world: w.StepWorld) -> None:
        vm, other = await world.start("a"), await world.start("b")
        assert await vm.submit(w.make_submission(3, 4, 3), TEAM) == 202
        await anyio.sleep(0.1)
        value, _ = world.store.rows[owner_key(STEP)]
        decoded = msgspec.json.decode(value, type=PreviousOwnerRecord)
        rewritten = msgspec.json.encode(msgspec.structs.replace(decoded, vm="old", boot="boot"))
        world.store.version += 1
        world.store.write(RowWrite(owner_key(STEP), rewritten))
        world.store.changed.set()
        world.store.changed = anyio.Event()
        await world.wait_for_results(SAMPLES, 10.0)
        runs = [team for each in (vm, other) for team in each.engines.teams]
        assert set(runs) == {TEAM}
        assert await other.read(STEP, team=OTHER_TEAM) == 404

    run_test(test)


def test_rows_are_readable_by_the_previous_build_and_without_teams_as_before() -> None:
    """VMs of both builds take over each other's steps during a rolling replacement."""
    record = msgspec.json.decode(PREVIOUS_OWNER, type=OwnerRecord)
    assert encode_owner(record) == PREVIOUS_OWNER
    named = msgspec.structs.replace(record, team=TEAM)
    previous = msgspec.json.decode(encode_owner(named), type=PreviousOwnerRecord)
    assert msgspec.json.encode(previous) == PREVIOUS_OWNER
    row = RowChange(RowKey(STEPS_TABLE, STEP, "owner"), encode_owner(named), 1)
    assert decode_owner(row) == named
    headers = (("Host", "h"), ("Attempt-Id", "step-1"))
    plain = StepSubmission.received(headers, b"body", None)
    assert encode_value(plain) == encode_value(PreviousSubmission(headers, b"body"))
    stored = encode_value(StepSubmission.received(headers, b"body", TEAM))
    assert decode_value(stored, PreviousSubmission) == PreviousSubmission(headers, b"body")
    assert decode_value(stored, StepSubmission).submitter.team == TEAM
    assert decode_value(PREVIOUS_SUBMISSION, StepSubmission).submitter.key_digest == key_digest(KEY)


def test_teams_that_share_a_route_do_not_get_each_others_text() -> None:
    """The text of unfinished samples is carried to the next step by sample ids alone."""
    parts = {carryover_part("h", "/rollouts/x", team) for team in ("", TEAM, OTHER_TEAM)}
    assert len(parts) == 3
    assert carryover_part("h", "/rollouts/x") == "carry/h/rollouts"


def sample(headers: tuple[tuple[str, str], ...]) -> SampleTask:
    item = {"id": "x", "path": "/p", "headers": dict(headers)}
    return decode_step((), json.dumps({"requests": [item]}).encode()).samples[0]


@pytest.mark.parametrize("team", [TEAM, None])
def test_headers_of_a_sample_do_not_name_a_team_or_a_key_of_its_own(team: TeamName | None) -> None:
    """The trainer chooses the headers of its samples."""
    own = (("authorization", f"Bearer {KEY}"), ("TENANT", "forged"), ("Model", "m"))

    def names(*, has_teams: bool) -> list[tuple[str, str]]:
        headers = sample_request_headers(
            sample(own),
            "h",
            target_id=TargetId("i-1"),
            remaining_s=2.0,
            priority=4,
            last_event=None,
            team=team if has_teams else None,
            has_teams=has_teams,
        )
        kept = {"authorization", "tenant", "model"}
        return [(name, value) for name, value in headers if name.lower() in kept]

    assert names(has_teams=False) == list(own)
    assert names(has_teams=True) == [("Model", "m"), *([("Tenant", TEAM)] if team else [])]


def test_submission_is_stored_unchanged_except_for_credentials_of_its_samples() -> None:
    """A field that this build does not know must reach a VM of a later one."""
    plain = b'{"requests": [{"id": "x", "path": "/p", "headers": {"Model": "m"}}]}'
    assert without_sample_credentials(plain, decode_step((), plain)) is plain
    item = {"id": "x", "path": "/p", "headers": {"Model": "m", "authorization": KEY, "Tenant": "t"}}
    body = json.dumps({"later": [1], "requests": [{**item, "body": "q83v", "later": 2}]}).encode()
    cleaned = json.loads(without_sample_credentials(body, decode_step((), body)))
    expected = {**item, "headers": {"Model": "m"}, "body": "q83v", "later": 2}
    assert cleaned == {"later": [1], "requests": [expected]}


@pytest.mark.parametrize("is_public", [False, True])
def test_calls_about_steps_need_a_key_unless_their_route_is_public(
    is_public: bool, use_table
) -> None:
    async def test(world: w.StepWorld) -> None:
        use_table(table(route=replace(w.ROUTE, public=is_public)))
        vm = await world.start("a")
        submission = w.make_submission(3, 4, 3)
        results, end = (
            Request(method, f"/lots/{STEP}", (("Host", w.HOST),)) for method in ("GET", "DELETE")
        )
        body = Request("GET", f"/items/{STEP}?id=0-0", (("Host", w.HOST),))
        assert await dispatch(vm, submission, None) == (202 if is_public else 401)
        assert await dispatch(vm, submission, KEY) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        assert set(vm.engines.teams) == {None if is_public else TEAM}
        for call in (results, body, end):
            assert await dispatch(vm, call, None) == (200 if is_public else 401)
            assert await dispatch(vm, call, "unknown") == (200 if is_public else 401)
            assert await dispatch(vm, call, "p1") == (200 if is_public else 404)
            assert await dispatch(vm, call, "second") == 200
        assert not any(KEY.encode() in value for value in stored_values(world))

    run_test(test)


def test_read_of_a_step_that_runs_here_needs_no_store(use_table) -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3), TEAM) == 202
        await anyio.sleep(0.2)
        vm.view.flaws.down = True
        await anyio.sleep(2.0)
        assert await vm.read(STEP, team=TEAM) == 200
        assert await vm.read(STEP, team=OTHER_TEAM) == 404

    run_test(test)
