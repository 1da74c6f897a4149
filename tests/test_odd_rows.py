"""Odd rows in the other tables of an entry process: VMs, leases, usage, suspects, documents."""

import json
import random
from collections.abc import Iterator
from pathlib import Path

import anyio
import pytest

from balsamcleat.http1 import Request
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from entry_world import entry_world
from odd_entries import NUMBERS
from soak import HEADERS

pytestmark = pytest.mark.anyio

NESTED = "[" * 30_000 + "]" * 30_000
ODD_VALUES = (*NUMBERS.values(), NESTED, "null", '"\\ud800"', "1e308", str(2**63), str(2**53))
SEED = 7
ROWS_PER_TABLE = 150
USAGE = {"length_ms": 5000, "first": 1, "complete": 2, "counts": {"team": [1, 2]}}
LIMIT_NOTICE = {"limit_per_s": 1.0, "seen_ms": 1, "refused": 1}
VM = {
    "boot": "boot",
    "address": "127.0.0.1:1",
    "zone": "a",
    "beat": 1,
    "leaving": False,
    "limits": {"demands": {"app": 1.0}, "notices": {"plain0-1": LIMIT_NOTICE}},
    "usage": USAGE,
    "clock": {"difference_ms": 1, "held_s": 99.0},
}
LEASE = {"vm": "other", "boot": "boot", "ordering": False, "last_order_ms": 1}
REPORT = {"counts": {"team": 1}, "vms": 1, "done": False}
ROUTE = {"host": "h", "prefix": "/p/", "kind": "safe", "svc": "app", "timeoutMs": 1.0, "sloMs": 1.0}
ENGINE = {"batchSlots": 1, "kvCapTokens": 1, "models": [{"name": "m", "version": 1}]}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE | {"prio": 1, "attempts": 1, "dueMs": 1.0, "queueTtlS": 1.0}],
    "services": [{"name": "app", "maxConns": 1, "engine": ENGINE}],
    "limits": {"maxHeaderBytes": 1, "headerTimeoutMs": 1.0},
    "tenants": [{"name": "t", "apiKeys": ["k"], "prio": 1}],
}
NAMED = {"model": "other", "version": 2}
# Documents by table, part and key; the number in the key tells rows apart.
DOCUMENTS: dict[tuple[str, str, str], dict[str, object]] = {
    ("vms", "vm", "odd{}"): VM,
    ("leases", "", "orders"): LEASE,
    ("leases", "", "odd{}"): LEASE,
    ("usage", "", "{}"): REPORT,
    ("usage", "", "closed"): {"window": 1},
    ("op", "", "version/odd{}"): NAMED,
    ("op", "", "odd{}"): CONFIGURATION,
    ("suspects", "odd{}", "crash/plain0-1/1"): {"at": 1},
    ("suspects", "odd{}", "trial/1"): {"at": 1},
    ("scaling", "", "odd{}"): {"count": 1},
    ("steps", "odd{}", "owner"): {"vm": "vm9", "boot": "b", "submitted_ms": 1},
    ("steps", "odd{}", "end"): {"at_ms": 1},
}


def places(document: object, place: tuple = ()) -> Iterator[tuple]:
    """Yield the place of each value in a document."""
    yield place
    if isinstance(document, dict | list):
        keys = document if isinstance(document, dict) else range(len(document))
        for key in keys:
            yield from places(document[key], (*place, key))


def with_value(document: object, place: tuple, value: str) -> bytes:
    """Return a document with another value, given as JSON, at a place other than the whole."""
    found = json.loads(json.dumps(document))
    inner = found
    for key in place[:-1]:
        inner = inner[key]
    inner[place[-1]] = "@odd@"
    return json.dumps(found).replace('"@odd@"', value).encode()


def with_odd_value(document: object, rng: random.Random) -> bytes:
    """Return a document with an odd value at one place, perhaps cut or badly encoded."""
    data = with_value(document, rng.choice(list(places(document))[1:]), rng.choice(ODD_VALUES))
    how = rng.randrange(6)
    if how == 0:
        return data[: rng.randrange(len(data))]
    if how == 1:
        place = rng.randrange(len(data))
        return data[:place] + b"\xff" + data[place + 1 :]
    if how == 2:
        return data[:-1] + b',"unknown":' + NESTED.encode() + b"}"
    return data


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("name", DOCUMENTS, ids=lambda name: "-".join(filter(None, name)))
async def test_odd_rows_cost_only_what_they_concern(
    name: tuple[str, str, str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some rows are there at the start, others come while callers and trainers are served."""
    rng = random.Random(f"{SEED}{name}")
    table, part, key = name

    def write(count: int) -> None:
        for _ in range(count):
            number = str(rng.randrange(10**6))
            row = RowKey(table, part.format(number), key.format(number))
            value = with_odd_value(DOCUMENTS[name], rng)
            world.soak.store.apply(RowCommit((RowWrite(row, value),)))

    async with entry_world(tmp_path, monkeypatch, reports_usage=True) as world:
        write(ROWS_PER_TABLE // 2)
        async with world.running():
            for _ in range(3):
                write(ROWS_PER_TABLE // 6)
                await anyio.sleep(0.2)
            await world.check_service()
            await world.check_following()
        assert not world.count("row left out")
        assert not world.count("request failed by a fault")


async def test_odd_configurations_do_not_end_the_next_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whatever a document at the operator's key holds, the next sound one comes into force."""
    rng = random.Random(SEED)
    row = RowKey("op", "", "config")
    async with entry_world(tmp_path, monkeypatch) as world, world.running():
        for _ in range(ROWS_PER_TABLE):
            world.soak.configurations += 1
            document = world.soak.configuration(world.soak.configurations)
            version = document.pop("version")
            odd = with_odd_value(document, rng)
            value = b'{"version":%d,' % version + odd[1:]
            world.soak.store.apply(RowCommit((RowWrite(row, value),)))
            if rng.random() < 0.1:
                answer = await world.soak.ask(Request("GET", "/safe/x", HEADERS), 4.0)
                assert answer is not None
        await world.check_following()
        await world.check_service()
        assert not world.count("row left out")
