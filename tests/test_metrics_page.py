"""The metrics of a running process, as the platform fetches them."""

from pathlib import Path

import pytest

from balsamcleat.entry.process import METRICS_PORT
from balsamcleat.http1 import Request
from test_signals import running_vm, wait_until_ready

GAUGES = ("steps_owned", "samples_running", "connections_callers", "bytes_held", "limits_targets")


@pytest.mark.anyio
async def test_running_process_reports_its_gauges_and_events(tmp_path: Path) -> None:
    async with running_vm(tmp_path) as (soak, vm):
        await wait_until_ready(soak, vm)
        address = f"{vm.ip}:{METRICS_PORT}"
        headers = (("Host", address),)
        page = await soak.pool.fetch(address, Request("GET", "/metrics", headers), 2.0)
        assert page.status == 200
        names = {line.split()[0] for line in page.body.decode().splitlines()}
        assert {f"balsamcleat_{name}" for name in GAUGES} <= names
        assert "balsamcleat_events_start_total" in names
        other = await soak.pool.fetch(address, Request("GET", "/other", headers), 2.0)
        assert other.status == 404
