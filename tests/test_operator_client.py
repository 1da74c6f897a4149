"""Operator client and its commands against a running node."""

import anyio
import anyio.to_thread
import pytest

from balsamcleat.adapters.operator_client import OperatorClient, PatchSubmission
from balsamcleat.cli_operators import NodeOptions, audit, diff, drain, history, show, status
from balsamcleat.errors import InvalidInputError, PlatformUnavailableError, RefusedError
from balsamcleat.queries.history import AuditFilter
from balsamcleat.standins.cluster import ClusterShape, LocalCluster
from balsamcleat.standins.serving import free_port

SHAPE = ClusterShape(
    region="r",
    zones=("zone-a",),
    nodes_per_zone=1,
    engine_service="model",
    engines=2,
    plain_service="board",
    plain_targets=1,
)


def order(base: int, path: str, value: str, *, dry_run: bool = False) -> PatchSubmission:
    patch = f'[{{"op":"add","path":"{path}","value":{value}}}]'.encode()
    return PatchSubmission(base, patch, "ann", "because", dry_run=dry_run)


def use_client(url: str) -> None:
    with OperatorClient(url) as client:
        assert client.configuration().version == 1
        limit = "/limits/max_in_flight"
        assert client.patch(order(1, limit, "1500", dry_run=True)).dry_run
        assert client.patch(order(1, limit, "1500")).version == 2
        with pytest.raises(RefusedError, match="stale"):
            client.patch(order(1, limit, "1600"))
        with pytest.raises(InvalidInputError, match="/limits/nope"):
            client.patch(order(2, "/limits/nope", "1"))
        assert [line.path for line in client.diff(1, 2)]
        assert client.roll_back(1, order(2, limit, "0")).version == 3
        assert [line.version for line in client.history(1)] == [2, 3]
        refused = client.audit(AuditFilter(result="refused"))
        assert len(refused) == 2
        assert client.status().vm_id == "entry-zone-a-0"


def use_commands(url: str) -> None:
    node = NodeOptions(url)
    for command in (show, history, status, audit):
        command(node=node)
    diff(1, node=node)
    drain(target="model-0", node=node)
    with pytest.raises(InvalidInputError, match=r"there are .*model-0"):
        drain(target="nowhere", node=node)
    drain(node=node)


def test_operator_reads_patches_and_drains(capsys: pytest.CaptureFixture[str]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group:
            cluster = LocalCluster(SHAPE, group)
            await cluster.start()
            await cluster.wait_configured(1)
            url = cluster.node_url(0)
            running = cluster.nodes["entry-zone-a-0"]
            await anyio.to_thread.run_sync(use_client, url)
            await anyio.to_thread.run_sync(use_commands, url)
            with anyio.fail_after(20):
                await running.ended.wait()
            group.cancel_scope.cancel()

    anyio.run(run)
    shown = capsys.readouterr().out
    assert all(
        text in shown for text in ("max_in_flight", "configuration.patch", "zone-a", "because")
    )


def test_unreachable_node_and_rejection_have_different_errors() -> None:
    with (
        OperatorClient(f"http://127.0.0.1:{free_port()}") as client,
        pytest.raises(PlatformUnavailableError, match="--url"),
    ):
        client.status()
