"""Operators' HTTP interface of two VMs on a platform that loses answers."""

import anyio
import httpx

from balsamcleat.standins.cluster import ClusterShape, LocalCluster

SHAPE = ClusterShape("region", ("a", "b"), 1, "model", 2, "plain", 1)


def headers(base: int, operation_id: str, **extra_headers: str) -> dict[str, str]:
    request_headers = {"if-match": f'"{base}"', "x-author": "ann", "x-reason": "why"}
    return {**request_headers, "x-operation-id": operation_id, **extra_headers}


def test_a_patch_whose_answer_is_lost_is_applied_once_through_any_node() -> None:
    patch = [{"op": "add", "path": "/zones/c", "value": {"region": "region"}}]

    async def scenario() -> None:
        async with anyio.create_task_group() as group, httpx.AsyncClient(timeout=20) as client:
            cluster = LocalCluster(SHAPE, group)
            await cluster.start()
            await cluster.wait_configured(1)
            first, second = (f"{cluster.node_url(number)}/v1" for number in (0, 1))

            async def submit(
                url: str, base: int, operation_id: str, **extra_headers: str
            ) -> httpx.Response:
                request_headers = headers(base, operation_id, **extra_headers)
                return await client.patch(
                    f"{url}/configuration", json=patch, headers=request_headers
                )

            dry_run_response = await submit(first, 1, "dry", **{"x-dry-run": "true"})
            assert dry_run_response.json()["dry_run"] is True
            cluster.platform.flaws.lose_answers = 1
            first_response = await submit(first, 1, "once")
            assert (first_response.status_code, first_response.json()["version"]) == (200, 2)
            retry = await submit(second, 1, "once")
            assert (retry.json()["version"], retry.json()["repeated"]) == (2, True)
            stale = await submit(second, 1, "other")
            assert stale.status_code == 412
            await cluster.wait_configured(2)
            rollback_response = await client.post(
                f"{second}/configuration/rollback?to=1", headers=headers(2, "back")
            )
            assert rollback_response.json()["version"] == 3, rollback_response.text
            diff = await client.get(f"{first}/configuration/diff?from=1&to=3")
            assert diff.json() == []
            await cluster.wait_configured(3)
            query = "action=configuration.patch&author=anonymous%2Fann&result=accepted"
            audit_rows = (await client.get(f"{first}/audit?{query}")).json()
            assert [row["version"] for row in audit_rows] == [2, 3]
            malformed_response = await client.get(f"{first}/audit?limit=many")
            assert malformed_response.status_code == 400
            group.cancel_scope.cancel()

    anyio.run(scenario)
