"""Service of a zone that is cut off from the platform, from the other zones or from both."""

import anyio
import httpx
import msgspec
import pytest

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model.peer import PeerMessage
from balsamcleat.ports import DatagramHandler, PeerTransport, RequestHandler
from balsamcleat.standins.cluster import ClusterShape, LocalCluster
from balsamcleat.standins.text import generation_text

SHAPE = ClusterShape(
    region="region-1",
    zones=("zone-a", "zone-b"),
    nodes_per_zone=1,
    engine_service="model",
    engines=2,
    plain_service="board",
    plain_targets=2,
)


class CutPeers(PeerTransport):
    """Peer connection that drops all messages to other VMs while it is cut."""

    def __init__(self, inner: PeerTransport) -> None:
        self.inner = inner
        self.cut = False

    async def send(self, address: str, message: PeerMessage) -> None:
        if not self.cut:
            await self.inner.send(address, message)

    async def request(self, address: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        if self.cut:
            raise AttemptFailedError("cut", step="peer", peer=address, perhaps_sent=False)
        return await self.inner.request(address, message, timeout_s)

    async def run(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        await self.inner.run(on_datagram, on_request)


class Callers:
    """Callers in every zone that can count how often each of their calls ran."""

    def __init__(self, cluster: LocalCluster, client: httpx.AsyncClient) -> None:
        self.cluster = cluster
        self.client = client

    async def complete(self, node: int) -> None:
        body = {"model": "model", "prompt": f"p{node}", "seed": node}
        url = f"{self.cluster.node_url(node)}/v1/completions"
        response = await self.client.post(url, content=msgspec.json.encode(body))
        assert response.status_code == 200, response.text
        assert response.json()["choices"][0]["text"] == generation_text(f"p{node}", node, 128)

    async def push(self, node: int, name: str, key: str | None = None) -> httpx.Response:
        headers = {} if key is None else {"idempotency-key": key}
        url = f"{self.cluster.node_url(node)}/v1/services/board/push"
        return await self.client.post(url, content=name, headers=headers)

    async def push_with_retries(self, node: int, name: str, key: str) -> httpx.Response:
        """Retry after the interval in each rejection, as a caller should."""
        for _ in range(5):
            response = await self.push(node, name, key)
            if response.status_code == 200:
                break
            assert response.json()["outcome"] == "not run"
            await anyio.sleep(int(response.headers["retry-after"]))
        return response

    def runs(self, name: str) -> int:
        return sum(service.runs[name] for service in self.cluster.services.values())


@pytest.mark.parametrize(
    ("platform_cut", "zones_cut"), [(True, False), (False, True), (True, True)]
)
def test_a_cut_off_zone_keeps_serving_and_nothing_runs_twice_or_reverts_afterwards(
    platform_cut: bool, zones_cut: bool
) -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as group, httpx.AsyncClient(timeout=20) as client:
            cluster = LocalCluster(SHAPE, group)
            await cluster.start()
            await cluster.wait_configured(1)
            links = [running.node.link for running in cluster.nodes.values()]
            cut_peers = [CutPeers(link.peers) for link in links]
            for link, cut in zip(links, cut_peers, strict=True):
                link.peers = cut
                cut.cut = zones_cut
            cluster.platform.flaws.down = platform_cut
            callers = Callers(cluster, client)
            for node in (0, 1):
                await callers.complete(node)
                assert (await callers.push(node, f"plain {node}")).status_code == 200
                assert callers.runs(f"plain {node}") == 1
            response = await callers.push(0, "keyed", "key-1")
            if platform_cut:
                # The service's outage policy is to reject calls; a rejected call must not run.
                assert (response.status_code, response.json()["outcome"]) == (503, "not run")
                assert int(response.headers["retry-after"]) > 0
                assert callers.runs("keyed") == 0
            else:
                # Both zones reach the table, which coordinates keyed calls.
                assert response.status_code == 200
            cluster.platform.flaws.down = False
            for cut in cut_peers:
                cut.cut = False
            for node in (1, 0):
                assert (await callers.push_with_retries(node, "keyed", "key-1")).status_code == 200
            assert callers.runs("keyed") == 1
            versions = {running.node.keeper.current.version for running in cluster.nodes.values()}
            assert versions == {1}
            group.cancel_scope.cancel()

    anyio.run(scenario)
