"""The entry process counts usage only if the platform wants reports, and else runs as before."""

import json
import random
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.entry.process import EntryProcess
from balsamcleat.log_output import BoundedOutput
from balsamcleat.model.routing import RoutingTable
from balsamcleat.platform import load_platform_settings
from balsamcleat.ports.rows import RowKey
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.rollout_records import VM_PART, VMS_TABLE
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.vm_presence import VmPresence
from duty_world import SETTINGS as SETTINGS_OF_DUTIES
from step_world import TABLE, run_in_virtual_time

# The metrics port is the same for all processes, so each start needs an address of its own.
SETTINGS = {
    "node": "front-a-1",
    "zone": "a",
    "listen": {"front": "", "ready": ""},
    "platform": {"address": "127.0.0.1:9"},
}


DUTIES = {"cloudApi": {"address": "127.0.0.1:9", "duties": ["usage"]}}


def entry_process(folder: Path, ip: str, duties: dict) -> EntryProcess:
    listen = {"front": f"{ip}:18080", "ready": f"{ip}:18081"}
    path = folder / "settings.json"
    path.write_text(
        json.dumps(SETTINGS | duties | {"ip": ip, "listen": listen, "portRange": [18082, 18089]})
    )
    settings = load_platform_settings(path)
    return EntryProcess(path, settings, TextMetrics(), BoundedOutput(2))


def close(process: EntryProcess) -> None:
    for server in (
        process.front_server,
        process.ready_server,
        process.peer_server,
        process.metrics_server,
    ):
        server.listener.close()


@pytest.mark.anyio
async def test_process_without_usage_settings_has_none_of_it(tmp_path: Path) -> None:
    process = entry_process(tmp_path, "127.0.0.71", {})
    try:
        assert (
            process.duties.usage is process.duties.usage_reporter is process.presence.usage is None
        )
        assert process.dispatcher.forwarder.usage.counter is None
        process.routing_keeper.table = TABLE
        process.wake_schedulers()
    finally:
        close(process)


@pytest.mark.anyio
async def test_process_with_usage_settings_counts_from_its_first_configuration_on(
    tmp_path: Path,
) -> None:
    process = entry_process(tmp_path, "127.0.0.72", DUTIES)
    try:
        assert process.duties.usage is not None
        counter = process.duties.usage.counter
        assert process.presence.usage is counter
        assert process.dispatcher.forwarder.usage.counter is counter
        process.wake_schedulers()
        assert counter.configured_at_s is None
        process.routing_keeper.table = RoutingTable(TABLE.version, ())
        process.wake_schedulers()
        assert counter.configured_at_s is not None
        assert process.duties.usage_reporter is not None
        assert process.duties.usage_reporter.counter is counter
        assert process.duties.usage_reporter.lease is process.duties.leases.usage
    finally:
        close(process)


@pytest.mark.anyio
async def test_reload_takes_no_lease_on_a_duty_that_the_process_was_not_started_with(
    tmp_path: Path,
) -> None:
    """The holder would perform nothing, and keep the VMs that could from the duty."""
    process = entry_process(tmp_path, "127.0.0.73", {})
    try:
        process.apply_settings(replace(process.settings, duties=SETTINGS_OF_DUTIES))
        assert not process.duties.leases.is_usage_enabled()
        assert not process.duties.leases.is_scaling_enabled()
    finally:
        close(process)


@pytest.mark.anyio
async def test_reload_takes_a_duty_away_and_gives_it_back(tmp_path: Path) -> None:
    process = entry_process(tmp_path, "127.0.0.74", DUTIES)
    try:
        settings = process.settings
        assert process.duties.leases.is_usage_enabled()
        process.apply_settings(replace(settings, duties=None))
        assert not process.duties.leases.is_usage_enabled()
        process.apply_settings(replace(settings, duties=SETTINGS_OF_DUTIES))
        assert process.duties.leases.is_usage_enabled()
        assert not process.duties.leases.is_scaling_enabled()
    finally:
        close(process)


def test_heartbeat_row_without_usage_is_as_before() -> None:
    """Guards against rows that the previous build has never seen where nothing is enabled."""

    async def scenario() -> None:
        store = MemoryRowStore()
        presence = VmPresence(
            RowStoreView(store),
            VmRow("a", "5f1c", "10.0.0.7:80", "bern-a", 0),
            StoreClock(anyio.current_time),
            lambda: False,
            random.Random(1),
            LimitSharing("a", TargetLimits(), ReplicaDirectory()),
        )
        await presence.renew()
        row = store.change_of(RowKey(VMS_TABLE, VM_PART, "a"))
        assert row.value == b'{"boot":"5f1c","address":"10.0.0.7:80","zone":"bern-a","beat":1}'

    run_in_virtual_time(scenario)
