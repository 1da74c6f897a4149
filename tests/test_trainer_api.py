"""Invalid input of trainers is rejected with the field's name and does not reach the service."""

from typing import Any

import anyio
import httpx
import msgspec
import pytest
from starlette.applications import Starlette

from balsamcleat.api import trainers
from balsamcleat.api.trainers import TrainerApi
from balsamcleat.ports import NoBatchYet

VALID_STEP = {"step_id": "s", "prompts": [{"prompt": "p", "size": 2}], "trainer_version": 1}


class StubTrainerService:
    """Stub of the trainer service that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0

    async def open_step(self, spec: object) -> None:
        self.calls += 1

    async def pull(self, *_: object) -> NoBatchYet:
        self.calls += 1
        return NoBatchYet()

    async def report_version(self, *_: object) -> None:
        self.calls += 1


def send_request(
    monkeypatch: pytest.MonkeyPatch, method: str, path: str, body: object = None
) -> Any:
    monkeypatch.setattr(trainers, "require_own_deployment", lambda handler: handler)
    service: Any = StubTrainerService()
    app = Starlette(routes=TrainerApi(service).routes())

    async def send() -> httpx.Response:
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport, base_url="http://t") as client:
            content = msgspec.json.encode(body)
            return await client.request(method, f"/v1/deployments/d{path}", content=content)

    return anyio.run(send), service


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"step_id": "a/b"}, "step_id"),
        ({"prompts": []}, "prompts"),
        ({"prompts": [{"prompt": "p", "size": 0}]}, "prompts[0].size"),
        ({"prompts": [{"prompt": "p", "size": 70_000}]}, "prompts"),
        ({"trainer_version": 0}, "trainer_version"),
        ({"max_tokens": 0}, "max_tokens"),
        ({"temperature": -1.0}, "temperature"),
        ({"top_p": 0.0}, "top_p"),
        ({"staleness_bound": -1}, "staleness_bound"),
        ({"min_version": -1}, "min_version"),
        ({"deadline_s": 0}, "deadline_s"),
        ({"scorer": ""}, "scorer"),
        ({"size": 3}, "size"),
        ({"max_tokens": "many"}, "max_tokens"),
    ],
)
def test_invalid_step_is_rejected_with_the_name_of_the_field(
    monkeypatch: pytest.MonkeyPatch, change: dict[str, object], field: str
) -> None:
    response, service = send_request(monkeypatch, "POST", "/steps", VALID_STEP | change)
    assert response.status_code == 400
    assert field in response.json()["faults"][0]
    assert service.calls == 0


@pytest.mark.parametrize(
    "query", ["cursor=x", "cursor=-1", "wait=soon", "wait=nan", "have=xyz", "epoch=-2", "other=1"]
)
def test_invalid_pull_is_rejected_with_the_name_of_the_field(
    monkeypatch: pytest.MonkeyPatch, query: str
) -> None:
    response, service = send_request(monkeypatch, "GET", f"/steps/s/batches?{query}")
    assert response.status_code == 400
    assert response.json()["faults"][0].startswith(query.split("=")[0])
    assert service.calls == 0


def test_invalid_version_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    response, service = send_request(monkeypatch, "POST", "/version", {"weight_version": 0})
    assert response.status_code == 400 and service.calls == 0


def test_valid_input_reaches_the_service(monkeypatch: pytest.MonkeyPatch) -> None:
    response, service = send_request(monkeypatch, "POST", "/steps", VALID_STEP)
    assert response.status_code == 201 and service.calls == 1
    response, service = send_request(
        monkeypatch, "GET", "/steps/s/batches?cursor=0&wait=0&have=0&epoch=1"
    )
    assert response.status_code == 204 and service.calls == 1
