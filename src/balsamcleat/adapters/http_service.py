"""Clients of plain services and of scorers over HTTP."""

import httpx
import msgspec

from balsamcleat.adapters.http_client import (
    DEADLINE_HEADER,
    REJECTION_STATUSES,
    AttemptTrace,
    send_request,
    status_failure,
)
from balsamcleat.decoding import decode_json
from balsamcleat.model import Answer, CallRequest, FailureKind, Sample
from balsamcleat.ports import PlainService, Scorer

__all__ = ["HttpPlainService", "HttpScorer", "ScoreMessage", "ScoreReply"]


class HttpPlainService(PlainService):
    """Client of one replica of a plain service.

    Args:
        client: HTTP client that reuses no connections. On a reused connection a second response
            to an earlier call would be read as the response to the next call, and the replica
            may close the connection while a request is written, which leaves its outcome unknown.
        address: Host and port of the replica.
    """

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.address = address

    async def call(self, request: CallRequest, timeout_s: float) -> Answer:
        """Send a call once and return its response."""
        headers = {
            "content-type": request.content_type,
            "x-request-id": request.request_id,
            DEADLINE_HEADER: f"{timeout_s:.3f}",
        }
        if request.idempotency_key is not None:
            headers["idempotency-key"] = request.idempotency_key
        step = "service.call"
        response = await send_request(
            self.client,
            AttemptTrace(step, self.address),
            request.method,
            f"http://{self.address}{request.path}",
            content=request.body,
            headers=headers,
            timeout_s=timeout_s,
        )
        if response.status_code in REJECTION_STATUSES:
            raise status_failure(response, step, self.address)
        content_type = response.headers.get("content-type", "application/octet-stream")
        return Answer(response.status_code, content_type, response.content)


class ScoreMessage(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/score``."""

    prompt: str
    text: str


class ScoreReply(msgspec.Struct, frozen=True):
    """Response to ``POST /v1/score``."""

    score: float


class HttpScorer(Scorer):
    """Client of one replica of a scoring service.

    Args:
        client: HTTP client that reuses no connections, as for plain services: a second response to
            an earlier request would be read as the score of another sample.
        address: Host and port of the replica.
    """

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.address = address

    async def score(self, prompt: str, sample: Sample, timeout_s: float) -> float:
        """Return the score of a sample."""
        trace = AttemptTrace("scorer.score", self.address)
        response = await send_request(
            self.client,
            trace,
            "POST",
            f"http://{self.address}/v1/score",
            content=msgspec.json.encode(ScoreMessage(prompt, sample.text)),
            timeout_s=timeout_s,
        )
        if response.status_code != 200:
            raise status_failure(response, trace.step, self.address)
        try:
            return decode_json(response.content, ScoreReply).score
        except msgspec.DecodeError as error:
            raise trace.failure(error, FailureKind.MALFORMED) from error
