"""Every flaw of the stand-ins, over real sockets and through the real adapters."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel
import httpx
import msgspec
import pytest

from balsamcleat.adapters.engine_dialect import prefix_blocks
from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.adapters.http_platform import (
    HttpObjectStore,
    HttpTable,
    HttpVmList,
    HttpWeightStore,
    PlatformHttp,
    VmMessage,
    WeightMessage,
)
from balsamcleat.adapters.http_service import HttpPlainService, HttpScorer
from balsamcleat.errors import (
    AttemptFailedError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from balsamcleat.model import (
    CallRequest,
    GenerationRequest,
    RequestId,
    Role,
    Sample,
    SampleKey,
    ServiceName,
    TeamName,
    TokenFrame,
    VersionSpan,
    VmKind,
    WeightVersion,
)
from balsamcleat.ports import Committed, Fence, OrderAccepted, OrderRejected, Transaction, Write
from balsamcleat.standins.engine import EngineFlaws, EngineStandIn
from balsamcleat.standins.flaws import set_flaws
from balsamcleat.standins.platform import PlatformStandIn
from balsamcleat.standins.scorer import ScorerStandIn
from balsamcleat.standins.service import PlainServiceStandIn
from balsamcleat.standins.serving import StandInServer
from balsamcleat.standins.text import generation_text

PROMPT = "p" * 200


@asynccontextmanager
async def served(stand_in) -> AsyncIterator[tuple[httpx.AsyncClient, str]]:  # type: ignore[no-untyped-def]
    server = StandInServer(stand_in.app())
    for hooks, hook in (("on_crash", server.crash), ("on_restart", server.restart)):
        if hasattr(stand_in, hooks):
            getattr(stand_in, hooks).append(hook)
    async with anyio.create_task_group() as group, new_client() as client:
        group.start_soon(server.run)
        yield client, server.address
        group.cancel_scope.cancel()


def with_engine(test: Callable[[EngineStandIn, HttpEngine], Awaitable[None]]) -> None:
    async def run() -> None:
        stand_in = EngineStandIn("model", token_interval_s=0.002, swap_s=0.0)
        async with served(stand_in) as (client, address):
            await test(stand_in, HttpEngine(client, address))

    anyio.run(run)


def with_platform(test: Callable[[PlatformStandIn, PlatformHttp], Awaitable[None]]) -> None:
    async def run() -> None:
        stand_in = PlatformStandIn()
        async with served(stand_in) as (client, address):
            await test(stand_in, PlatformHttp(client, f"http://{address}"))

    anyio.run(run)


def generation(prompt: str = PROMPT, **more: object) -> GenerationRequest:
    fields = {"request_id": RequestId("r"), "max_tokens": 64, "seed": 1} | more
    return GenerationRequest(model="model", prompt=prompt, **fields)  # type: ignore[arg-type]


async def generate(engine: HttpEngine, request: GenerationRequest) -> list[TokenFrame]:
    return [frame async for frame in engine.generate(request)]


def put(key: str) -> Transaction:
    return Transaction("op", (Write(key, b"v"),))


def test_a_stream_is_whole_and_resumes_at_an_offset() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        whole = generation_text(PROMPT, 1, 64)
        assert "".join(frame.text for frame in await generate(engine, generation())) == whole
        head = generation_text(PROMPT, 1, 64)[: 8 * 5]
        rest = await generate(engine, generation(resume_tokens=8, resume_text=head))
        assert rest[0].offset == 8
        assert head + "".join(frame.text for frame in rest) == whole

    with_engine(check)


def test_a_crash_cuts_without_an_answer_refuses_afterwards_and_a_restart_brings_it_back() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.crash_on = "boom"
        stand_in.flaws.stall_after_frames = 1
        frames = engine.generate(generation())
        await anext(frames)
        for prompt, perhaps_sent in (("boom", True), ("harmless", False)):
            with pytest.raises(AttemptFailedError) as caught:
                await generate(engine, generation(prompt))
            assert caught.value.perhaps_sent is perhaps_sent
            assert "answered" not in caught.value.message
        with pytest.raises(AttemptFailedError):
            [frame async for frame in frames]
        stand_in.flaws.stall_after_frames = 0
        stand_in.weight_version = 5
        stand_in.restart()
        with anyio.fail_after(5):
            while True:
                try:
                    state = await engine.state()
                    break
                except AttemptFailedError:
                    await anyio.lowlevel.checkpoint()
        assert state.weight_version == 1
        assert await generate(engine, generation("harmless"))

    with_engine(check)


def test_a_full_batch_queues_by_priority() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.batch.capacity = 1
        done: list[str] = []

        async def run(prompt: str, priority: int) -> None:
            request_id = RequestId(prompt)
            await generate(engine, generation(prompt, priority=priority, request_id=request_id))
            done.append(prompt)

        async with anyio.create_task_group() as group:
            for waiting, (prompt, priority) in enumerate([("a", 0), ("b", 10), ("c", 0)]):
                group.start_soon(run, prompt, priority)
                while stand_in.running + stand_in.waiting <= waiting:
                    await anyio.lowlevel.checkpoint()
        assert done == ["a", "c", "b"]
        assert stand_in.running == stand_in.waiting == 0

    with_engine(check)


def test_loads_lag() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        assert (await engine.load_report()).running == 0
        stand_in.flaws.load_lag_s = 60.0
        stand_in.flaws.stall_after_frames = 1
        frames = engine.generate(generation())
        await anext(frames)
        assert stand_in.running == 1
        assert (await engine.load_report()).running == 0
        stand_in.flaws.load_lag_s = 0.0
        assert (await engine.load_report()).running == 1
        await frames.aclose()

    with_engine(check)


def test_cache_events_come_late_and_with_gaps_and_the_cache_is_limited() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.cache.limit = 3
        stand_in.flaws.cache_event_drop_every = 3
        stand_in.flaws.cache_event_lag_s = 60.0
        for prompt in (PROMPT, "q" * 70):
            await generate(engine, generation(prompt))
        assert await engine.cache_events(0) == ()
        stand_in.flaws.cache_event_lag_s = 0.0
        events = await engine.cache_events(0)
        # Three blocks of the first prompt, one of the second, and the one that it pushed out.
        assert [event.number for event in events] == [1, 2, 4, 5]
        assert not events[-1].stored
        assert events[-1].block == prefix_blocks(PROMPT)[0]
        assert await engine.cache_events(4) == events[-1:]

    with_engine(check)


def test_orders_with_an_old_fencing_number_are_refused_or_ignored() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        assert isinstance(await engine.order_load(WeightVersion(2), (), Fence(7)), OrderAccepted)
        refused = await engine.order_load(WeightVersion(3), (), Fence(6))
        assert refused == OrderRejected("old fencing number", 7)
        stand_in.flaws.honours_fencing = False
        assert isinstance(await engine.order_load(WeightVersion(3), (), Fence(6)), OrderAccepted)
        assert (await engine.state()).weight_version == 3

    with_engine(check)


def test_a_swap_fails_partway_and_its_tokens_belong_to_no_version() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.fail_next_swaps = 1
        assert isinstance(await engine.order_load(WeightVersion(2), (), Fence(1)), OrderRejected)
        assert not (await engine.state()).whole
        assert {frame.weight_version for frame in await generate(engine, generation())} == {0}
        assert isinstance(await engine.order_load(WeightVersion(2), (), Fence(1)), OrderAccepted)
        assert (await engine.state()).whole

    with_engine(check)


def test_a_swap_is_reported_late_while_frames_tell_what_ran() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.swap_report_lag_s = 60.0
        await engine.order_load(WeightVersion(2), (), Fence(1))
        assert (await engine.state()).weight_version == 1
        assert {frame.weight_version for frame in await generate(engine, generation())} == {2}
        stand_in.flaws.swap_report_lag_s = 0.0
        assert (await engine.state()).weight_version == 2

    with_engine(check)


def test_the_answer_to_an_order_is_lost_after_it_took_effect() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.lose_order_answers = 1
        with pytest.raises(AttemptFailedError) as caught:
            await engine.order_load(WeightVersion(2), (), Fence(1))
        assert caught.value.perhaps_sent
        assert stand_in.weight_version == 2

    with_engine(check)


def test_a_generation_is_cancelled_and_its_stream_cut() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.stall_after_frames = 1
        frames = engine.generate(generation())
        await anext(frames)
        await engine.cancel(RequestId("r"))
        with pytest.raises(AttemptFailedError):
            [frame async for frame in frames]

    with_engine(check)


def test_streams_are_cut_after_some_frames() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.cut_after_frames = 2
        frames: list[TokenFrame] = []
        with pytest.raises(AttemptFailedError):
            async for frame in engine.generate(generation()):
                frames.append(frame)
        assert len(frames) == 2
        stand_in.flaws.refuse = True
        with pytest.raises(AttemptFailedError) as caught:
            await generate(engine, generation())
        assert not caught.value.perhaps_sent

    with_engine(check)


def test_kv_is_exported_and_imported_where_offered() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        stand_in.flaws.stall_after_frames = 1
        frames = engine.generate(generation())
        first = await anext(frames)
        handle = await engine.export_kv(RequestId("r"))
        assert handle is not None
        await frames.aclose()
        stand_in.flaws.stall_after_frames = 0
        rest = await generate(
            engine, generation(resume_tokens=4, resume_text=first.text, kv_handle=handle)
        )
        assert rest[0].offset == 4
        assert stand_in.kv_imports == 1
        stand_in.flaws.exports_kv = False
        stand_in.flaws.stall_after_frames = 1
        frames = engine.generate(generation())
        await anext(frames)
        assert await engine.export_kv(RequestId("r")) is None
        await frames.aclose()

    with_engine(check)


def test_adapters_must_be_loaded_before_use() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        with pytest.raises(AttemptFailedError) as caught:
            await generate(engine, generation(adapter="style"))
        assert not caught.value.perhaps_sent
        await engine.order_load(WeightVersion(1), ("style",), Fence(1))
        assert (await engine.state()).adapters == ("style",)
        assert await generate(engine, generation(adapter="style"))

    with_engine(check)


def test_a_prefill_engine_hands_over_and_a_decode_engine_only_resumes() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        await engine.order_role(Role.PREFILL, Fence(1))
        frames = await generate(engine, generation())
        assert len(frames) == 1 and frames[0].finish_reason is None
        handle = await engine.export_kv(RequestId("r"))
        await engine.order_role(Role.DECODE, Fence(1))
        with pytest.raises(AttemptFailedError):
            await generate(engine, generation())
        text = frames[0].text
        rest = await generate(
            engine, generation(resume_tokens=4, resume_text=text, kv_handle=handle)
        )
        assert text + "".join(frame.text for frame in rest) == generation_text(PROMPT, 1, 64)

    with_engine(check)


def test_the_ledger_knows_which_version_ran_through_a_swap() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        frames: list[TokenFrame] = []
        async for frame in engine.generate(generation()):
            frames.append(frame)
            if len(frames) == 2:
                stand_in.weight_version = 2
        text = "".join(frame.text for frame in frames)
        tokens = sum(frame.count for frame in frames)
        switched = next(frame.offset for frame in frames if frame.weight_version == 2)
        rightly = (
            VersionSpan(0, switched, WeightVersion(1)),
            VersionSpan(switched, tokens, WeightVersion(2)),
        )
        good = Sample(SampleKey(0, 0), text, tokens, rightly, "stop")
        assert stand_in.ledger.attributed_rightly(PROMPT, good)
        for wrong in (
            (VersionSpan(0, tokens, WeightVersion(2)),),
            (VersionSpan(0, switched, WeightVersion(1)),),
        ):
            bad = Sample(SampleKey(0, 0), text, tokens, wrong, "stop")
            assert not stand_in.ledger.attributed_rightly(PROMPT, bad)

    with_engine(check)


def test_the_platform_goes_away_part_by_part_and_as_a_whole() -> None:
    async def check(stand_in: PlatformStandIn, http: PlatformHttp) -> None:
        asks = {
            "table_down": lambda: HttpTable(http).get("row"),
            "objects_down": lambda: HttpObjectStore(http).get("object"),
            "vm_list_down": lambda: HttpVmList(http).records(),
            "weights_down": lambda: HttpWeightStore(http).fetch_limit(),
        }
        for flaw in asks:
            setattr(stand_in.flaws, flaw, True)
            for name, ask in asks.items():
                if name == flaw:
                    with pytest.raises(PlatformUnavailableError):
                        await ask()
                else:
                    await ask()
            setattr(stand_in.flaws, flaw, False)
        stand_in.flaws.down = True
        for ask in asks.values():
            with pytest.raises(PlatformUnavailableError):
                await ask()

    with_platform(check)


def test_an_answer_is_lost_after_the_write_took_effect() -> None:
    async def check(stand_in: PlatformStandIn, http: PlatformHttp) -> None:
        stand_in.flaws.lose_answers = 1
        with pytest.raises(OutcomeUnknownError):
            await HttpTable(http).commit(put("row"))
        row = await HttpTable(http).get("row")
        assert row is not None and row.value == b"v"

    with_platform(check)


def test_the_platform_limits_its_rates() -> None:
    async def check(stand_in: PlatformStandIn, http: PlatformHttp) -> None:
        table = HttpTable(http)
        stand_in.flaws.writes_per_s = stand_in.flaws.reads_per_s = 1.0
        assert await table.commit(put("row")) == Committed()
        with pytest.raises(PlatformUnavailableError):
            await table.commit(put("other"))
        assert await table.get("row") is not None
        with pytest.raises(PlatformUnavailableError):
            await table.get("row")
        assert "other" not in stand_in.rows

    with_platform(check)


def test_a_slow_platform_delays_its_answers() -> None:
    async def check(stand_in: PlatformStandIn, http: PlatformHttp) -> None:
        stand_in.flaws.delay_s = 60.0
        with anyio.move_on_after(0.05) as scope:
            await HttpTable(http).get("row")
        assert scope.cancelled_caught

    with_platform(check)


def test_the_vm_list_lags() -> None:
    async def check(stand_in: PlatformStandIn, http: PlatformHttp) -> None:
        vms = HttpVmList(http)
        stand_in.put_vm(VmMessage("vm", VmKind.TARGET, "zone", "127.0.0.1:1"))
        assert [vm.leaving for vm in await vms.records()] == [False]
        stand_in.leave_vm("vm")
        assert [vm.leaving for vm in await vms.records()] == [True]
        stand_in.flaws.vm_list_lag_s = 60.0
        assert await vms.records() == ()

    with_platform(check)


def test_the_weight_store_limits_concurrent_fetches_and_knows_its_versions() -> None:
    async def check(stand_in: PlatformStandIn, http: PlatformHttp) -> None:
        stand_in.flaws.fetch_limit = 1
        assert await HttpWeightStore(http).fetch_limit() == 1
        engine = EngineStandIn("model", swap_s=0.0, weights_url=http.base_url)
        async with served(engine) as (client, address):
            port = HttpEngine(client, address)
            stand_in.fetches = 1
            refused = await port.order_load(WeightVersion(2), (), Fence(1))
            assert isinstance(refused, OrderRejected)
            state = await port.state()
            assert state.whole and state.weight_version == 1
            stand_in.fetches = 0
            stand_in.flaws.only_known_weights = True
            assert isinstance(await port.order_load(WeightVersion(2), (), Fence(1)), OrderRejected)
            weight = WeightMessage("model", 2, 10)
            await http.write("weights.put", "POST", "/weights", msgspec.json.encode(weight))
            assert isinstance(await port.order_load(WeightVersion(2), (), Fence(1)), OrderAccepted)
            record = await HttpWeightStore(http).describe("model", WeightVersion(2))
            assert record is not None and record.size_bytes == 10

    with_platform(check)


def call(body: bytes) -> CallRequest:
    return CallRequest(
        request_id=RequestId("r"),
        service=ServiceName("s"),
        team=TeamName("t"),
        method="POST",
        path="/push",
        body=body,
        content_type="text/plain",
        idempotent=False,
        idempotency_key=None,
        deadline_s=0.0,
    )


def test_a_plain_service_refuses_fails_or_is_cut_after_it_ran_and_crashes() -> None:
    async def run() -> None:
        stand_in = PlainServiceStandIn()
        async with served(stand_in) as (client, address):
            service = HttpPlainService(client, address)
            stand_in.flaws.refuse = True
            with pytest.raises(AttemptFailedError) as caught:
                await service.call(call(b"refused"), 5.0)
            assert not caught.value.perhaps_sent
            stand_in.flaws.refuse = False
            stand_in.flaws.fail_after_run = True
            assert (await service.call(call(b"failed"), 5.0)).status == 500
            stand_in.flaws.fail_after_run = False
            stand_in.flaws.cut_after_run = True
            with pytest.raises(AttemptFailedError) as caught:
                await service.call(call(b"cut"), 5.0)
            assert caught.value.perhaps_sent
            stand_in.flaws.cut_after_run = False
            stand_in.flaws.crash_on = "boom"
            for _ in range(2):
                with pytest.raises(AttemptFailedError):
                    await service.call(call(b"boom"), 5.0)
            assert stand_in.runs == {"failed": 1, "cut": 1}

    anyio.run(run)


def test_a_scorer_refuses_and_fails() -> None:
    async def run() -> None:
        stand_in = ScorerStandIn()
        sample = Sample(SampleKey(0, 0), "text", 1, (), "stop")
        async with served(stand_in) as (client, address):
            scorer = HttpScorer(client, address)
            assert 0.0 <= await scorer.score("prompt", sample, 5.0) < 1.0
            stand_in.flaws.down, stand_in.flaws.fail_next = True, 1
            for _ in range(2):
                with pytest.raises(AttemptFailedError):
                    await scorer.score("prompt", sample, 5.0)
                stand_in.flaws.down = False
            assert stand_in.scores == 1

    anyio.run(run)


def test_flaws_are_switched_while_a_stand_in_runs_and_unknown_ones_refused() -> None:
    async def check(stand_in: EngineStandIn, engine: HttpEngine) -> None:
        url = f"{engine.base_url}/flaws"
        response = await engine.client.put(url, content=b'{"load_lag_s": 2.5}')
        assert response.json()["load_lag_s"] == stand_in.flaws.load_lag_s == 2.5
        assert (await engine.client.put(url, content=b'{"nope": 1}')).status_code == 400

    with_engine(check)
    for wrong in (b'{"nope": 1}', b'{"load_lag_s": "x"}', b"nonsense"):
        with pytest.raises(InvalidInputError):
            set_flaws(EngineFlaws(), wrong)
