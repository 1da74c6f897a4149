"""Numbers that can't be, in what targets, callers and trainers send.

``int`` raises for more than 4,300 digits, integers of 400 digits overflow when they meet a float,
and those beyond 64 bits can't be stored. One such number of one target failed the calls of all.
"""

import base64
import json
from pathlib import Path

import pytest

from balsamcleat.errors import InvalidInputError
from balsamcleat.http1 import Request, Responder, Response, header_value
from balsamcleat.http1.events import EventParser
from balsamcleat.platform import SpoiledEventError, decode_event, decode_step
from balsamcleat.platform.headers import (
    parse_caller_timeout_s,
    parse_last_event_id,
    parse_response_metadata,
)
from balsamcleat.platform.steps import classify_step_call
from entry_world import EntryWorld, entry_world
from soak import HEADERS, MODEL
from soak_stand import SoakTarget

NUMBERS = {
    "31 digits": "9" * 31,
    "400 digits": "9" * 400,
    "5000 digits": "9" * 5000,
    "1e300": "1e300",
    "1e999": "1e999",
    "below zero": "-7",
    "NaN": "nan",
    "other digits": "\u00b2",
}
# Those that a server or a client can send in a header.
SENT = {name: number for name, number in NUMBERS.items() if number.isascii()}
CALLER_HEADERS = (
    "Last-Event-Id",
    "Deadline-Ms",
    "Token-Usage",
    "Prompt-Prefix",
    "Length-Hint",
    "Request-Priority",
    "Wait-Ms",
)


@pytest.mark.parametrize("name", NUMBERS)
def test_headers_state_no_impossible_number(name: str) -> None:
    number = NUMBERS[name]
    headers = tuple(
        (header, number)
        for header in ("Weight-Versions", "Retry-After", "Last-Event-Id", "Deadline-Ms")
    )
    load = ("Server-Load", f"{number},{number},8,{number}")
    metadata = parse_response_metadata(200, (*headers, load))
    assert metadata.running_count is None
    assert metadata.weight_version is None
    assert parse_last_event_id(headers) is None
    parse_caller_timeout_s(headers)


@pytest.mark.parametrize("name", [*NUMBERS, "Arabic digits"])
def test_events_state_no_impossible_number(name: str) -> None:
    number = NUMBERS.get(name, "\u0664\u0662")
    data = f"weight-versions: {number}\nid: {number}\ndata: x\n\n".encode()
    (event,) = EventParser().feed(data)
    assert event.event_id is None
    assert event.data == "x"
    with pytest.raises(SpoiledEventError):
        decode_event(event)
    (numbered,) = EventParser().feed(f"weight-versions: {number}\nid: 1\ndata: x\n\n".encode())
    with pytest.raises(SpoiledEventError):
        decode_event(numbered)


@pytest.mark.parametrize("name", [*NUMBERS, "Arabic digits"])
def test_results_are_read_from_the_start_for_an_impossible_position(name: str) -> None:
    number = NUMBERS.get(name, "\u0664\u0662")
    call = classify_step_call(Request("GET", f"/lots/x?after={number}", (("Wait-Ms", number),)))
    assert call is not None
    assert call.query is not None
    assert call.query.position == 0
    assert 0.0 <= call.query.wait_s <= 1.0


def submission(item: dict[str, object], **fields: object) -> bytes:
    known = {"id": "i", "path": "/steps/g", "body": "", "group": "g"}
    return json.dumps({"model": MODEL, "requests": [known | item], **fields}).encode()


@pytest.mark.parametrize("name", NUMBERS)
def test_headers_of_samples_state_no_impossible_number(name: str) -> None:
    number = NUMBERS[name]
    headers = {
        "Token-Usage": f"{number},{number}",
        "Prompt-Prefix": f"a:{number},b:7",
        "Length-Hint": number,
    }
    (sample,) = decode_step((), submission({"headers": headers})).samples
    assert sample.max_tokens == 0
    assert sample.prompt_tokens == 7
    assert sample.expected_tokens is None


@pytest.mark.parametrize("digits", [31, 400])
@pytest.mark.parametrize("field", ["minVersion", "targetGroups", "trainStep", "tokens"])
def test_submission_with_an_impossible_number_is_invalid(field: str, digits: int) -> None:
    number = int("9" * digits)
    item = {"tokens": number} if field == "tokens" else {}
    fields = {} if field == "tokens" else {field: number}
    with pytest.raises(InvalidInputError):
        decode_step((), submission(item, **fields))


def answer_oddly(plain: SoakTarget, headers: tuple[tuple[str, str], ...]) -> None:
    """Let a plain target add headers to its answers."""

    async def answer(request: Request, attempt: str, responder: Responder) -> None:
        known = (("Attempt-Id", attempt), ("Server-Stamp", "s"))
        body = attempt.encode() + b":" + request.body
        await responder.send(Response(200, (*known, *headers), body))

    plain.plain = answer  # type: ignore[method-assign]


def generate_oddly(engine: SoakTarget, number: str) -> None:
    """Let an engine state an impossible version in its streams."""

    async def generate(request: Request, attempt: str, responder: Responder) -> None:
        known = (("Attempt-Id", attempt), ("Server-Stamp", "s"))
        headers = (("Weight-Versions", number), ("Server-Load", f"{number},{number},8"))
        await responder.start_chunked(
            200, (*known, *headers, ("Content-Type", "text/event-stream"))
        )
        start = int(header_value(request.headers, "Last-Event-Id") or 0)
        for event in range(start + 1, 4):
            text = f"weight-versions: {number}\nid: {event}\ndata: {event}\n\n"
            await responder.write(text.encode())
        await responder.finish()

    engine.generate = generate  # type: ignore[method-assign]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def check_calls(world: EntryWorld, name: str) -> None:
    for _ in range(6):
        assert (await world.call()).status == 200, name


@pytest.mark.anyio
async def test_one_targets_impossible_numbers_cost_no_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A load of 400 digits overflowed in the ranking, so that all calls of the service failed."""
    async with entry_world(tmp_path, monkeypatch) as world, world.running():
        for name, number in SENT.items():
            headers = (
                ("Server-Load", f"{number},{number},{number},{number}"),
                ("Weight-Versions", number),
                ("Retry-After", number),
                ("Server-Limit", number if name == "below zero" else "nan"),
                ("Keep-Alive", f"timeout={number}"),
            )
            answer_oddly(world.soak.plains[0], headers)
            await check_calls(world, name)
        assert not world.count("request failed by a fault")


@pytest.mark.anyio
@pytest.mark.parametrize("name", SENT)
async def test_one_engines_impossible_versions_cost_no_step(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A version beyond 64 bits can't be stored with the result, which then was never listed."""
    async with entry_world(tmp_path, monkeypatch) as world, world.running():
        generate_oddly(world.soak.engines[0], SENT[name])
        assert {result["state"] for result in await world.run_step()} == {"complete"}
        await check_calls(world, name)
        assert not world.count("request failed by a fault")


@pytest.mark.anyio
@pytest.mark.parametrize("name", SENT)
async def test_impossible_numbers_of_callers_and_trainers_cost_only_their_call(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    number = SENT[name]
    async with entry_world(tmp_path, monkeypatch) as world, world.running():
        for header in CALLER_HEADERS:
            headers = (*HEADERS, ("Attempt-Id", f"odd-{header}"), (header, number))
            headers += () if header == "Deadline-Ms" else (("Deadline-Ms", "2000"),)
            for request in (
                Request("POST", "/once/x", headers, b"x"),
                Request("GET", f"/lots/x?after={number}", headers),
            ):
                answer = await world.soak.ask(request, 6.0)
                assert answer is not None, (header, request.path)
                assert answer.status != 500, (header, request.path)
        body = base64.b64encode(b"x").decode()
        item = {"headers": {"Model": MODEL, "Length-Hint": number}, "body": body}
        headers = (*HEADERS, ("Attempt-Id", "odd"))
        submitted = Request("POST", "/steps/s", headers, submission(item, minVersion=10**400))
        answer = await world.soak.ask(submitted, 4.0)
        assert answer is not None
        assert answer.status == 400
        await world.check_service()
        assert not world.count("request failed by a fault")
