"""Odd entries of other writers in the list of targets, through the whole way an entry takes.

Operators reported: another writer left one odd entry among those of the replicas, very deeply
nested, with a number too large, or with a port out of range. The machines that read the list ended
again and again, or stopped following it. Here such entries go as bytes on the wire from the store
to the entry process, and callers and trainers are served meanwhile.
"""

import itertools
import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import anyio
import pytest

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Request
from entry_world import EntryWorld, entry_world, new_soak, put_entries, wait_until
from odd_entries import FORMS, ODD_ENTRIES, sound_entry
from soak import HEADERS, VM_PORTS, Soak
from soak_faults import SoakVm

pytestmark = pytest.mark.anyio

# The ids of the existing targets begin with "engine" and "plain", and a page is in their order.
PLACES = {"first": "a", "middle": "f", "last": "z"}
QUIET_S = 0.6
# Within that time, a feed's long poll ends once at most; some room for one that ends just then.
MAX_QUIET_READS = 2


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def odd_rows(form: str, place: str) -> dict[str, bytes]:
    """Return all entries of a form under ids at one place of the list."""
    values = ODD_ENTRIES[form].values()
    return {f"{PLACES[place]}-odd-{number:03}": value for number, value in enumerate(values)}


def entries_of(form: str, service: str) -> list[bytes]:
    """Return the entries of a form that name a service."""
    found = ODD_ENTRIES[form].items()
    return [value for name, value in found if name.startswith(service)]


def name_of(form: str, row: str) -> str:
    return list(ODD_ENTRIES[form])[int(row.rpartition("-")[2])]


def check_ignored(world: EntryWorld, form: str, rows: Iterable[str], times: int = 1) -> None:
    """Check that entries name no target, and that each was logged as often as it was written."""
    for row in rows:
        assert row not in world.listed, name_of(form, row)
        assert world.count("target entry ignored", target=row) == times, name_of(form, row)


async def check_calm(world: EntryWorld) -> None:
    """Check that the process does not read the list again and again, and logs nothing more."""
    reads, lines = world.reads.total(), world.count("target entry ignored")
    await anyio.sleep(QUIET_S)
    assert world.reads.total() - reads <= MAX_QUIET_READS
    assert world.count("target entry ignored") == lines
    assert not world.count("row left out")
    assert not world.count("store lost")


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("form", FORMS)
async def test_odd_entries_at_the_start_and_after_a_restart(
    form: str, place: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process ended at its first read of the list, and again at each start."""
    rows = odd_rows(form, place)
    async with entry_world(tmp_path, monkeypatch) as world:
        put_entries(world.soak.store, rows)
        for start in (1, 2):
            async with world.running():
                assert world.listed == world.sound
                await world.check_service()
                await world.check_following()
                check_ignored(world, form, rows, times=start)
                await check_calm(world)


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("form", FORMS)
async def test_odd_entries_that_come_later(
    form: str, place: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The feed's page with the entry ended the process, or no later row was read any more."""
    async with entry_world(tmp_path, monkeypatch) as world:
        draining = json.dumps(sound_entry("app", state="draining")).encode()
        sound = {"e-sound": draining, "p-sound": draining}
        rows = odd_rows(form, place)
        async with world.running():
            assert world.listed == world.sound
            put_entries(world.soak.store, dict(sorted({**sound, **rows}.items())))
            await world.settle()
            assert world.listed == world.sound | set(sound)
            check_ignored(world, form, rows)
            await world.check_service()
            await world.check_following()
            put_entries(world.soak.store, dict.fromkeys((*rows, *sound)))
            await world.settle()
            await wait_until(lambda: world.listed == world.sound)
            await check_calm(world)


@pytest.mark.parametrize("form", FORMS)
async def test_sound_entry_becomes_odd_and_sound_again(
    form: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An odd entry names no target, also where its sound predecessor named one."""
    async with entry_world(tmp_path, monkeypatch) as world:
        for target in (world.soak.plains[0], world.soak.engines[0]):
            target_id = target.target_id
            async with world.running():
                for number, value in enumerate(entries_of(form, target.service), 1):
                    put_entries(world.soak.store, {target_id: value})
                    await world.settle()
                    await wait_until(lambda: target_id not in world.listed)  # noqa: B023
                    assert not world.takes_requests(target_id)
                    assert world.count("target entry ignored", target=target_id) == number
                    if number % 10 == 1:
                        assert (await world.call()).status == 200
                    target.put("ready")
                    await world.settle()
                    assert world.takes_requests(target_id)
                assert world.listed == world.sound
                await world.check_service()
                await world.check_following()
                await check_calm(world)


async def wait_until_served(soak: Soak, vm: SoakVm, timeout_s: float = 20.0) -> None:
    """Wait until a process says that it is ready and serves a call; it must not end before."""
    attempts = itertools.count()
    headers = (*HEADERS, ("Deadline-Ms", "3000"))
    with anyio.fail_after(timeout_s):
        while True:
            assert vm.process is not None
            assert vm.process.poll() is None, vm.log.read_text()[-2000:]
            attempt = ("Attempt-Id", f"{vm.name}-{vm.process.pid}-{next(attempts)}")
            call = Request("POST", "/once/x", (*headers, attempt), b"x")
            ready = await ready_status(soak, vm)
            response = await soak.ask(call, 4.0, vm)
            if ready == 200 and response is not None and response.status == 200:
                return
            await anyio.sleep(0.05)


async def ready_status(soak: Soak, vm: SoakVm) -> int:
    request = Request("GET", "/ready", (("Host", vm.ip),))
    try:
        return (await soak.pool.fetch(f"{vm.ip}:{VM_PORTS['ready']}", request, 2.0)).status
    except AttemptFailedError:
        return 0


def ignored_entries(vm: SoakVm) -> Counter:
    """Return how often the log of a process names each ignored entry."""
    lines = [json.loads(line) for line in vm.log.read_text().splitlines() if line.startswith("{")]
    return Counter(
        (line["target"], line["row_version"])
        for line in lines
        if line["event"] == "target entry ignored"
    )


async def test_real_process_lives_with_odd_entries_in_its_list(tmp_path: Path) -> None:
    """The processes of the operators' machines ended by themselves, again at each start."""
    rows = {
        f"{place}-{form}": list(ODD_ENTRIES[form].values())[number]
        for number, place in enumerate(("a", "f", "z"))
        for form in FORMS
    }
    async with anyio.create_task_group() as tasks:
        soak = new_soak(tmp_path, tasks)
        soak.build(1)
        (vm,) = soak.vms
        put_entries(soak.store, rows)
        try:
            for start in (1, 2):
                vm.start()
                await wait_until_served(soak, vm)
                # The same entries come as changes.
                put_entries(soak.store, rows)
                await wait_until(lambda: ignored_entries(vm).total() >= 2 * start * len(rows))  # noqa: B023
                await wait_until_served(soak, vm)
                await anyio.sleep(QUIET_S)
                assert await ready_status(soak, vm) == 200
                assert ignored_entries(vm).total() == 2 * start * len(rows)
                vm.end()
        finally:
            vm.end()
            soak.pool.close()
            tasks.cancel_scope.cancel()
