"""A stand-in of a model engine: batches, caches prefixes, streams, swaps weights, crashes."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from balsamcleat.adapters.engine_dialect import (
    MIXED_WEIGHTS,
    CacheEventsMessage,
    ChoiceMessage,
    CompletionFrame,
    CompletionMessage,
    KvExportMessage,
    LoadMessage,
    LoadOrderMessage,
    OrderReply,
    RoleOrderMessage,
    StateMessage,
    prefix_blocks,
)
from balsamcleat.model import Role
from balsamcleat.standins.batch import Batch
from balsamcleat.standins.engine_flaws import EngineFlaws, KvPool
from balsamcleat.standins.flaws import flaws_route
from balsamcleat.standins.ledger import GenerationLedger
from balsamcleat.standins.prefix_cache import PrefixCache
from balsamcleat.standins.replies import reply
from balsamcleat.standins.text import generation_length, token_text

__all__ = ["EngineFlaws", "EngineStandIn", "KvPool"]

FETCH_TIMEOUT_S = 10.0
STALL_LOOK_INTERVAL_S = 0.01


@dataclass
class EngineStandIn:
    """Answers the engines' HTTP protocol.

    Attributes:
        service: The service it serves.
        capacity: Requests that fit in the batch; the rest queues by priority.
        token_interval_s: Time a frame takes, in seconds.
        frame_tokens: Tokens in a frame.
        swap_s: Time a weight load takes, in seconds.
        weight_version: The version in use.
        prefill_block_s: Time that each prompt block outside the cache takes, in seconds.
        cache_blocks: Prompt blocks that the prefix cache holds.
        weights_url: The weight store that it fetches from, or empty to load without one.
        kv: Where exported KV caches are.
        ledger: What it really ran.
        crashed: Set when it crashed; it then answers nothing.
        on_crash: Called when it crashes, to cut its sockets.
        on_restart: Called when it comes back.
    """

    service: str
    capacity: int = 16
    token_interval_s: float = 0.005
    frame_tokens: int = 4
    swap_s: float = 0.2
    weight_version: int = 1
    flaws: EngineFlaws = field(default_factory=EngineFlaws)
    prefill_block_s: float = 0.0005
    cache_blocks: int = 256
    weights_url: str = ""
    kv: KvPool = field(default_factory=KvPool)
    ledger: GenerationLedger = field(default_factory=GenerationLedger)
    loading: int | None = None
    whole: bool = True
    fence: int = 0
    role: Role = Role.MIXED
    adapters: tuple[str, ...] = ()
    crashed: bool = False
    generations: int = 0
    kv_imports: int = 0
    progress: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    on_crash: list[Callable[[], None]] = field(default_factory=list)
    on_restart: list[Callable[[], None]] = field(default_factory=list)
    batch: Batch = field(init=False)
    cache: PrefixCache = field(init=False)
    reports: list[LoadMessage] = field(default_factory=list)
    swaps: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.first_version = self.weight_version
        self.batch = Batch(self.capacity)
        self.cache = PrefixCache(self.cache_blocks)

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return self.batch.running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self.batch.queue)

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self.completions, methods=["POST"]),
                Route("/v1/load", self.get_load),
                Route("/v1/state", self.get_state),
                Route("/v1/cache-events", self.get_cache_events),
                Route("/v1/orders/load", self.order_load, methods=["POST"]),
                Route("/v1/orders/role", self.order_role, methods=["POST"]),
                Route("/v1/requests/{request_id}", self.cancel, methods=["DELETE"]),
                Route("/v1/requests/{request_id}/kv", self.export_kv, methods=["POST"]),
                flaws_route(self.flaws),
            ]
        )

    def crash(self) -> None:
        """Crash: every connection is cut without an answer, new ones are refused."""
        self.crashed = True
        for cut in self.on_crash:
            cut()

    def restart(self) -> None:
        """Come back as a fresh process: first weights, empty cache, no fencing number."""
        self.crashed, self.whole, self.loading = False, True, None
        self.weight_version, self.fence, self.adapters = self.first_version, 0, ()
        self.batch, self.cache = Batch(self.capacity), PrefixCache(self.cache_blocks)
        self.progress.clear()
        for back in self.on_restart:
            back()

    async def completions(self, request: Request) -> Response:
        """Stream one completion."""
        message = msgspec.json.decode(await request.body(), type=CompletionMessage)
        if self.flaws.crash_on and self.flaws.crash_on in message.prompt:
            self.crash()
        await self.cut_when_crashed()
        refusal = self.refusal(message)
        if refusal:
            return Response(refusal, status_code=503)
        self.generations += 1
        return StreamingResponse(self.stream(message), media_type="text/event-stream")

    def refusal(self, message: CompletionMessage) -> str:
        """Return why the generation is refused before it begins, or an empty string."""
        if self.flaws.refuse:
            return "refused"
        if message.adapter is not None and message.adapter not in self.adapters:
            return f"the adapter {message.adapter!r} is not loaded"
        if self.role is Role.DECODE and not message.resume_tokens:
            return "this engine only resumes generations that another began"
        return ""

    async def cut_when_crashed(self) -> None:
        """Answer nothing once crashed; where the sockets are cut, wait for that."""
        if self.crashed and self.on_crash:
            await anyio.sleep_forever()
        if self.crashed:
            raise ConnectionResetError("the engine crashed")

    async def stream(self, message: CompletionMessage) -> AsyncIterator[bytes]:
        """Yield the completion's events."""
        self.progress[message.request_id] = message.resume_tokens
        sent = 0
        try:
            async with self.batch.place(message.priority):
                await self.prefill(message)
                async for frame in self.frames(message):
                    yield b"data: " + msgspec.json.encode(frame) + b"\n\n"
                    sent += 1
                    if sent == self.flaws.cut_after_frames:
                        raise ConnectionResetError("the engine cut the stream")
                    await self.stall(message.request_id, sent)
                    # A prefill engine hands over after the first frame.
                    if self.role is Role.PREFILL:
                        break
                yield b"data: [DONE]\n\n"
        finally:
            if self.role is not Role.PREFILL:
                self.progress.pop(message.request_id, None)

    async def stall(self, request_id: str, sent: int) -> None:
        """Stay silent while the flaw asks for it."""
        while 0 < self.flaws.stall_after_frames <= sent:
            if self.crashed or request_id in self.cancelled:
                return
            await anyio.sleep(STALL_LOOK_INTERVAL_S)

    async def prefill(self, message: CompletionMessage) -> None:
        """Take the time that the uncached part of the prompt needs."""
        if self.flaws.exports_kv and message.kv_handle in self.kv.tokens:
            self.kv_imports += 1
            return
        blocks = prefix_blocks(message.prompt)
        missing = len(blocks) - self.cache.hits(blocks)
        if missing:
            await anyio.sleep(missing * self.prefill_block_s)
        self.cache.drop_every = self.flaws.cache_event_drop_every
        self.cache.store(blocks, anyio.current_time())

    async def frames(self, message: CompletionMessage) -> AsyncIterator[CompletionFrame]:
        """Yield frames, each made by one weight version."""
        length = generation_length(message.prompt, message.seed, message.max_tokens)
        position = message.resume_tokens
        done = "".join(token_text(message.prompt, message.seed, index) for index in range(position))
        while position < length:
            version = self.weight_version if self.whole else MIXED_WEIGHTS
            await anyio.sleep(self.token_interval_s)
            if self.crashed or message.request_id in self.cancelled:
                raise ConnectionResetError("the engine cut the stream")
            end = min(length, position + self.frame_tokens)
            text = "".join(
                token_text(message.prompt, message.seed, index) for index in range(position, end)
            )
            done += text
            self.ledger.ran(message.prompt, done, position, end, version)
            self.progress[message.request_id] = end
            reason = None
            if end == length:
                reason = "length" if length == message.max_tokens else "stop"
            choice = ChoiceMessage(text, 0, reason)
            yield CompletionFrame(message.request_id, (choice,), position, end - position, version)
            position = end

    async def get_load(self, request: Request) -> Response:
        """Answer the load report as it was ``load_lag_s`` ago."""
        await self.cut_when_crashed()
        now = anyio.current_time()
        report = LoadMessage(self.running, self.waiting, self.capacity, self.cache.used(), now)
        self.reports.append(report)
        old = [
            known for known in self.reports if known.measured_at_s <= now - self.flaws.load_lag_s
        ]
        if old:
            # What is older than the one that is due now will never be asked for again.
            del self.reports[: len(old) - 1]
        return reply(self.reports[0])

    async def get_state(self, request: Request) -> Response:
        """Answer what is loaded, late where the engine reports swaps late."""
        await self.cut_when_crashed()
        return reply(
            StateMessage(
                self.reported_version(),
                self.loading,
                self.adapters,
                self.role,
                self.fence,
                self.whole,
            )
        )

    def reported_version(self) -> int:
        """Return the version that the state names."""
        since = anyio.current_time() - self.flaws.swap_report_lag_s
        recent = [old for at, old in self.swaps if at > since]
        return recent[0] if recent else self.weight_version

    async def get_cache_events(self, request: Request) -> Response:
        """Answer the cache events that are published by now."""
        await self.cut_when_crashed()
        self.cache.lag_s = self.flaws.cache_event_lag_s
        after = int(request.query_params.get("after", "0"))
        return reply(CacheEventsMessage(self.cache.published(after, anyio.current_time())))

    async def order_load(self, request: Request) -> Response:
        """Take an order to load weights."""
        order = msgspec.json.decode(await request.body(), type=LoadOrderMessage)
        await self.cut_when_crashed()
        refusal = self.check_fence(order.fence)
        if refusal is not None:
            return reply(refusal)
        return self.order_answer(await self.swap(order))

    async def swap(self, order: LoadOrderMessage) -> OrderReply:
        """Fetch the weights and go over to them."""
        self.loading = order.weight_version
        try:
            if not await self.fetch(order.weight_version):
                return OrderReply(False, "the weight store refused the fetch", self.fence)
            await anyio.sleep(self.swap_s)
        finally:
            self.loading = None
        now = anyio.current_time()
        if self.flaws.fail_next_swaps > 0:
            self.flaws.fail_next_swaps -= 1
            self.whole = False
            return OrderReply(False, "the load failed partway", self.fence)
        self.swaps.append((now, self.weight_version))
        self.weight_version = order.weight_version
        self.adapters = order.adapters
        self.whole = True
        # Cached values belong to the weights that made them.
        self.cache.clear(now)
        return OrderReply(True, "", self.fence)

    async def fetch(self, version: int) -> bool:
        """Fetch a version from the weight store, where there is one."""
        if not self.weights_url:
            return True
        url = f"{self.weights_url}/weights/{self.service}/{version}/blob"
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=FETCH_TIMEOUT_S) as client:
                return (await client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def order_role(self, request: Request) -> Response:
        """Take an order to change role."""
        order = msgspec.json.decode(await request.body(), type=RoleOrderMessage)
        await self.cut_when_crashed()
        refusal = self.check_fence(order.fence)
        if refusal is not None:
            return reply(refusal)
        self.role = order.role
        return self.order_answer(OrderReply(True, "", self.fence))

    def order_answer(self, outcome: OrderReply) -> Response:
        """Return the answer to an order, or lose it."""
        if self.flaws.lose_order_answers > 0:
            self.flaws.lose_order_answers -= 1
            return Response(status_code=500)
        return reply(outcome)

    def check_fence(self, fence: int) -> OrderReply | None:
        """Refuse an old fencing number, where this engine honours them."""
        if not self.flaws.honours_fencing:
            return None
        if fence < self.fence:
            return OrderReply(False, "old fencing number", self.fence)
        self.fence = fence
        return None

    async def cancel(self, request: Request) -> Response:
        """Stop one generation."""
        await self.cut_when_crashed()
        self.cancelled.add(request.path_params["request_id"])
        return reply(OrderReply(True))

    async def export_kv(self, request: Request) -> Response:
        """Export a generation's KV cache, where offered."""
        await self.cut_when_crashed()
        tokens = self.progress.get(request.path_params["request_id"])
        if tokens is None or not self.flaws.exports_kv:
            return reply(KvExportMessage(None))
        return reply(KvExportMessage(self.kv.export(tokens)))
