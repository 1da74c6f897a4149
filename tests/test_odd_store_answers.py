"""Answers of the store of which a part can't be read, through the whole way to the targets in use.

One unreadable row made the whole answer unreadable, so that the list of targets was not followed
any more: the process read the same page again and again.
"""

from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from balsamcleat.http1 import Request
from entry_world import EntryWorld, entry_world, wait_until

pytestmark = pytest.mark.anyio

DEPTH = 30_000
NESTED = msgspec.Raw(b"[" * DEPTH + b"]" * DEPTH)
ROW = {"table": "servers", "part": "", "key": "odd", "value": "e30=", "ver": 1}


def row(**fields: object) -> dict[str, object]:
    return ROW | {name: value for name, value in fields.items()}


# Rows that name no target; those with a key are logged as entries, the others as rows.
KEYED_ROWS = {
    "value that is not base64": row(value="%%%"),
    "value with other letters": row(value="\u0664\u00e9"),
    "value that is a number": row(value=7),
    "value with 5000 digits": row(value=msgspec.Raw(b"9" * 5000)),
    "value of 1e999": row(value=msgspec.Raw(b"1e999")),
    "value that is a list": row(value=[["x"]]),
    "deleted that is a text": row(value="e30=", deleted="yes"),
}
ROWS = {
    **KEYED_ROWS,
    "key that is a number": row(key=7),
    "key that is null": row(key=None),
    "key that is missing": {"table": "servers", "value": "e30=", "ver": 1},
    "table that is a list": row(table=[]),
    "part that is a number": row(part=1.5),
    "version of 31 digits": row(ver=10**30),
    "version of 400 digits": row(ver=10**400),
    "version of 5000 digits": row(ver=msgspec.Raw(b"9" * 5000)),
    "version below zero": row(ver=-1),
    "version of 1e999": row(ver=msgspec.Raw(b"1e999")),
    "version that is a text": row(ver="3"),
    "row that is a text": "row",
    "row that is null": None,
    "row that is a list": [[], {}],
}
PLACES = {"first": 0, "middle": 2, "last": 1000}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def insert(odd: object, place: str):
    """Return a change that puts a row into each answer that has rows."""

    def change(_: Request, body: dict[str, Any]) -> None:
        if body.get("rows"):
            body["rows"].insert(PLACES[place], odd)

    return change


async def check_followed(world: EntryWorld) -> None:
    """Check that the list is followed, that it names the existing targets, and not in a loop."""
    reads = world.reads.total()
    await world.check_following()
    assert world.listed == world.sound
    assert world.reads.total() - reads <= 6
    assert not world.count("store lost")
    assert not world.count("row left out")


@pytest.mark.parametrize("place", PLACES)
async def test_unreadable_row_costs_only_itself(
    place: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The whole answer counted as unreadable, so that the list was read again and again."""
    async with entry_world(tmp_path, monkeypatch) as world:
        for name, odd in ROWS.items():
            world.change_answer = insert(odd, place)
            world.events.clear()
            reads = world.reads.total()
            async with world.running():
                assert world.listed == world.sound, name
                await check_followed(world)
                assert (await world.call()).status == 200
            event = "target entry ignored" if name in KEYED_ROWS else "store row ignored"
            assert 0 < world.count(event) <= world.reads.total() - reads, name


@pytest.mark.parametrize(
    "fields",
    [{"ver": 10**400}, {"nowMs": 10**30}, {"unknown": NESTED}],
    ids=["version of 400 digits", "time of 31 digits", "nested field"],
)
async def test_unreadable_answer_is_read_again_until_it_is_readable(
    fields: dict[str, object], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A version of 400 digits was believed, so that no later change was ever read."""
    async with entry_world(tmp_path, monkeypatch) as world:
        world.change_answer = lambda request, body: body.update(fields)
        async with world.starting():
            await wait_until(lambda: world.reads.total() >= 3)
            await anyio.sleep(0.5)
            # Backoff doubles up to 0.4 s.
            assert world.reads.total() <= 12
            assert world.count("store lost", table="servers") == 1
            world.change_answer = lambda request, body: None
            await wait_until(lambda: world.listed == world.sound)
            await world.check_following()
            assert (await world.call()).status == 200
            world.change_answer = lambda request, body: body.update(fields)
            await wait_until(lambda: world.count("store lost", table="servers") == 2)
            assert (await world.call()).status == 200
            world.change_answer = lambda request, body: None
            await world.check_following()
            assert world.count("store lost", table="servers") == 2
