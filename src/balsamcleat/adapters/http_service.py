"""Plain services and scorers over HTTP."""

import httpx
import msgspec

from balsamcleat.adapters.http_client import (
    DEADLINE_HEADER,
    REJECTION_STATUSES,
    AttemptTrace,
    send_request,
    status_failure,
)
from balsamcleat.model import Answer, CallRequest, FailureKind, Sample
from balsamcleat.ports import PlainService, Scorer

__all__ = ["HttpPlainService", "HttpScorer", "ScoreMessage", "ScoreReply"]


class HttpPlainService(PlainService):
    """Talks to one replica of a plain service.

    Args:
        client: An HTTP client that keeps no connections. On a kept one a second answer to an
            earlier call would be read as the answer to the next, and it may close just as a
            request is written, which would be an unknown outcome.
        address: The replica's host and port.
    """

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.address = address

    async def call(self, request: CallRequest, timeout_s: float) -> Answer:
        """Send the request once."""
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
    """The body of ``POST /v1/score``."""

    prompt: str
    text: str


class ScoreReply(msgspec.Struct, frozen=True):
    """The answer to it."""

    score: float


class HttpScorer(Scorer):
    """Talks to one replica of a scoring service.

    Args:
        client: The HTTP client.
        address: The replica's host and port.
    """

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        self.client = client
        self.address = address

    async def score(self, prompt: str, sample: Sample, timeout_s: float) -> float:
        """Return the sample's score."""
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
            return msgspec.json.decode(response.content, type=ScoreReply).score
        except msgspec.DecodeError as error:
            raise trace.failure(error, FailureKind.MALFORMED) from error
