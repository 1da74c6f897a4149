"""Client of a model engine over HTTP."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import TypeVar

import anyio
import httpx
import msgspec

from balsamcleat.adapters.engine_dialect import (
    CacheEventsMessage,
    CompletionMessage,
    KvExportMessage,
    LoadMessage,
    LoadOrderMessage,
    OrderReply,
    RoleOrderMessage,
    StateMessage,
)
from balsamcleat.adapters.frame_parser import FrameParser, ParsedFrames
from balsamcleat.adapters.http_client import (
    CONNECT_TIMEOUT_S,
    DEADLINE_HEADER,
    REQUEST_ERRORS,
    AttemptTrace,
    check_status,
    discard_body,
    send_request,
    status_failure,
)
from balsamcleat.decoding import decode_json
from balsamcleat.errors import ProtocolError
from balsamcleat.http1 import WorkBudget, WorkMeter
from balsamcleat.model import (
    CacheEvent,
    EngineState,
    FailureKind,
    GenerationRequest,
    LoadReport,
    RequestId,
    Role,
    TokenFrame,
    WeightVersion,
)
from balsamcleat.ports import Engine, Fence, Metrics, OrderAccepted, OrderRejected

__all__ = ["HttpEngine"]

CONTROL_TIMEOUT_S = 2.0
# Timeout for the head and for the next data of a stream.
FRAME_TIMEOUT_S = 30.0
OK = 200

Message = TypeVar("Message")


class FrameReader:
    """Reads the frames of a generation, and notices when nothing but other bytes come.

    Args:
        attempt_id: Id that the frames of the attempt carry.
        trace: Trace of the attempt, for errors.
        metrics: Receiver of counters, if any.
    """

    def __init__(self, attempt_id: str, trace: AttemptTrace, metrics: Metrics | None) -> None:
        self.parser = FrameParser(attempt_id)
        self.trace = trace
        self.metrics = metrics
        self.last_frame_s = anyio.current_time()

    def feed(self, chunk: bytes) -> ParsedFrames:
        """Return the frames that a chunk of the stream completes.

        Raises:
            AttemptFailedError: No frame came for too long.
            ProtocolError: A frame is malformed.
        """
        parsed = self.parser.feed(chunk)
        now_s = anyio.current_time()
        if parsed.frames:
            self.last_frame_s = now_s
        elif now_s - self.last_frame_s > FRAME_TIMEOUT_S:
            # Bytes that complete no frame are no progress.
            raise self.trace.failure("the stream stalled", FailureKind.SILENT)
        if parsed.foreign_count and self.metrics is not None:
            self.metrics.count("engine.frame.foreign", parsed.foreign_count)
        return parsed


class HttpEngine(Engine):
    """Client of one engine.

    Args:
        client: HTTP client.
        address: Host and port of the engine.
        metrics: Receiver of counters, if any.
    """

    def __init__(
        self, client: httpx.AsyncClient, address: str, metrics: Metrics | None = None
    ) -> None:
        self.client = client
        self.metrics = metrics
        self.address = address
        self.base_url = f"http://{address}"

    async def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenFrame, None]:
        """Yield the frames of a generation."""
        step = "engine.generate"
        body = msgspec.json.encode(
            CompletionMessage(
                model=request.model,
                prompt=request.prompt,
                max_tokens=request.max_tokens,
                seed=request.seed,
                temperature=request.temperature,
                stream=True,
                priority=request.priority,
                adapter=request.adapter,
                request_id=request.request_id,
                resume_text=request.resume_text,
                resume_tokens=request.resume_tokens,
                kv_handle=request.kv_handle,
            )
        )
        trace = AttemptTrace(step, self.address)
        try:
            async with aclosing(await self.open_stream(request, body, trace)) as response:
                reader = FrameReader(request.request_id, trace, self.metrics)
                work = WorkMeter(WorkBudget())
                async for chunk in response.aiter_raw():
                    await work.record(len(chunk))
                    parsed = reader.feed(chunk)
                    for frame in parsed.frames:
                        yield frame
                    if parsed.has_ended:
                        return
        except REQUEST_ERRORS as error:
            raise trace.failure(error) from error
        except ProtocolError as error:
            raise trace.failure(error.message, FailureKind.MALFORMED) from error
        raise trace.failure("the stream ended without its end mark", FailureKind.CUT)

    async def open_stream(
        self, request: GenerationRequest, body: bytes, trace: AttemptTrace
    ) -> httpx.Response:
        """Send the request of a generation and return the response, of which the head was read.

        Raises:
            AttemptFailedError: The engine answered with a failure.
            TimeoutError: No head came in time, whatever came instead.
        """
        sent = self.client.build_request(
            "POST",
            f"{self.base_url}/v1/completions",
            content=body,
            headers=self.deadline_headers(request),
            extensions=trace.extensions,
            timeout=httpx.Timeout(FRAME_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        with anyio.fail_after(FRAME_TIMEOUT_S):
            response = await self.client.send(sent, stream=True)
        if response.status_code == OK:
            return response
        try:
            check_status(response, trace)
            await discard_body(response, trace)
        finally:
            await response.aclose()
        raise status_failure(response, trace.step, self.address)

    def deadline_headers(self, request: GenerationRequest) -> dict[str, str]:
        """Return the header with the remaining time, if the request has a deadline."""
        if request.remaining_s is None:
            return {}
        return {DEADLINE_HEADER: f"{request.remaining_s:.3f}"}

    async def send_control_request(
        self, step: str, method: str, path: str, reply: type[Message], body: bytes = b""
    ) -> Message:
        """Send a control request and return its decoded response."""
        trace = AttemptTrace(step, self.address)
        response = await send_request(
            self.client,
            trace,
            method,
            self.base_url + path,
            content=body,
            timeout_s=CONTROL_TIMEOUT_S,
        )
        if response.status_code != OK:
            raise status_failure(response, step, self.address)
        try:
            return decode_json(response.content, reply)
        except msgspec.DecodeError as error:
            raise trace.failure(error, FailureKind.MALFORMED) from error

    async def cancel(self, request_id: RequestId) -> None:
        """Cancel a generation."""
        await self.send_control_request(
            "engine.cancel", "DELETE", f"/v1/requests/{request_id}", OrderReply
        )

    async def load_report(self) -> LoadReport:
        """Return the engine's report of its load."""
        message = await self.send_control_request("engine.load", "GET", "/v1/load", LoadMessage)
        return LoadReport(
            message.running,
            message.waiting,
            message.capacity,
            message.cache_used,
            message.measured_at_s,
        )

    async def state(self) -> EngineState:
        """Return the weights, adapters and role of the engine."""
        message = await self.send_control_request("engine.state", "GET", "/v1/state", StateMessage)
        loading = None if message.loading is None else WeightVersion(message.loading)
        return EngineState(
            WeightVersion(message.weight_version),
            loading,
            message.adapters,
            message.role,
            message.fence,
            message.whole,
        )

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events with numbers above ``after``."""
        message = await self.send_control_request(
            "engine.cache_events", "GET", f"/v1/cache-events?after={after}", CacheEventsMessage
        )
        return tuple(
            CacheEvent(event.number, event.block, event.stored) for event in message.events
        )

    async def order_load(
        self, version: WeightVersion, adapters: tuple[str, ...], fence: Fence
    ) -> OrderAccepted | OrderRejected:
        """Order the engine to load a weight version."""
        body = msgspec.json.encode(LoadOrderMessage(version, adapters, fence.epoch))
        return await self.send_order("engine.order_load", "/v1/orders/load", body)

    async def order_role(self, role: Role, fence: Fence) -> OrderAccepted | OrderRejected:
        """Order the engine to change its role."""
        body = msgspec.json.encode(RoleOrderMessage(role, fence.epoch))
        return await self.send_order("engine.order_role", "/v1/orders/role", body)

    async def send_order(self, step: str, path: str, body: bytes) -> OrderAccepted | OrderRejected:
        """Send an order and return whether the engine accepted it."""
        reply = await self.send_control_request(step, "POST", path, OrderReply, body)
        return OrderAccepted() if reply.accepted else OrderRejected(reply.reason, reply.fence)

    async def export_kv(self, request_id: RequestId) -> str | None:
        """Export the KV cache of a generation; return its handle, or None."""
        message = await self.send_control_request(
            "engine.export_kv", "POST", f"/v1/requests/{request_id}/kv", KvExportMessage
        )
        return message.handle
