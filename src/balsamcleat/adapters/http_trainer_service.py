"""Trainer's client of this system over HTTP, through any of several entry VMs."""

import anyio
import httpx
import msgspec

from balsamcleat.adapters.http_client import REQUEST_ERRORS
from balsamcleat.api.trainer_messages import (
    BatchMessage,
    PromptMessage,
    StepMessage,
    VersionReport,
    decode_batch,
)
from balsamcleat.decoding import decode_json
from balsamcleat.errors import OutcomeUnknownError, RefusedError
from balsamcleat.model import DeploymentName, StepId, StepSpec, TrainerAck, WeightVersion
from balsamcleat.ports import (
    BatchReady,
    NoBatchYet,
    PullOutcome,
    PullRejected,
    StepGone,
    TrainerService,
)

__all__ = ["HttpTrainerService"]

RETRY_INTERVAL_S = 0.2
READ_MARGIN_S = 10.0
MAX_TRIES = 50
# Error statuses that are regular outcomes of a pull.
OUTCOME_STATUSES = (409, 410)


class HttpTrainerService(TrainerService):
    """Sends requests to one entry VM, and to the next one if it fails; all are idempotent.

    Args:
        urls: Base URLs of entry VMs.
        client: HTTP client.
        token: Bearer token of the trainer, or empty if none is required.
    """

    def __init__(self, urls: list[str], client: httpx.AsyncClient, token: str = "") -> None:
        self.urls = urls
        self.client = client
        self.headers = {"authorization": f"Bearer {token}"} if token else {}
        self.url_index = 0
        self.failovers = 0

    async def open_step(self, spec: StepSpec) -> None:
        """Open a step."""
        message = StepMessage(
            step_id=spec.step_id,
            prompts=tuple(
                PromptMessage(prompt=group.prompt, size=group.size) for group in spec.groups
            ),
            trainer_version=spec.trainer_version,
            max_tokens=spec.max_tokens,
            temperature=spec.temperature,
            staleness_bound=spec.staleness_bound,
            deadline_s=spec.deadline_s,
            scorer=spec.scorer,
        )
        await self.send_request("POST", spec.deployment, "/steps", msgspec.json.encode(message))

    async def pull(
        self, deployment: DeploymentName, step_id: StepId, ack: TrainerAck, wait_s: float
    ) -> PullOutcome:
        """Return the batch after the cursor, or why there is none."""
        path = (
            f"/steps/{step_id}/batches?cursor={ack.cursor}&wait={wait_s}"
            f"&epoch={ack.epoch}&version={ack.version}"
        )
        if ack.have is not None:
            path += f"&have={ack.have:x}"
        response = await self.send_request("GET", deployment, path, wait_s=wait_s)
        if response.status_code == 204:
            return NoBatchYet()
        if response.status_code == 410:
            return StepGone(response.text)
        if response.status_code == 409:
            return PullRejected(response.text)
        return BatchReady(decode_batch(decode_json(response.content, BatchMessage)))

    async def report_version(self, deployment: DeploymentName, version: WeightVersion) -> None:
        """Report the trainer's weight version."""
        body = msgspec.json.encode(VersionReport(weight_version=version))
        await self.send_request("POST", deployment, "/version", body)

    async def cancel(self, deployment: DeploymentName, step_id: StepId) -> None:
        """Cancel a step."""
        await self.send_request("DELETE", deployment, f"/steps/{step_id}")

    async def send_request(
        self,
        method: str,
        deployment: DeploymentName,
        path: str,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> httpx.Response:
        """Send a request; if an entry VM fails, send it to the next one.

        Raises:
            RefusedError: An entry VM rejected the request permanently.
            OutcomeUnknownError: No entry VM answered.
        """
        step = f"trainer.{method.lower()}"
        for _ in range(MAX_TRIES):
            url = f"{self.urls[self.url_index % len(self.urls)]}/v1/deployments/{deployment}{path}"
            try:
                response = await self.client.request(
                    method,
                    url,
                    content=body or None,
                    headers={**self.headers, "content-type": "application/json"},
                    timeout=wait_s + READ_MARGIN_S,
                )
                if response.status_code < 400 or response.status_code in OUTCOME_STATUSES:
                    return response
                if response.status_code < 500 and response.status_code != 429:
                    raise RefusedError(response.text, step=step, peer=url)
            except REQUEST_ERRORS:
                pass
            self.url_index += 1
            self.failovers += 1
            await anyio.sleep(RETRY_INTERVAL_S)
        raise OutcomeUnknownError("no entry VM answers", step=step, peer=", ".join(self.urls))
