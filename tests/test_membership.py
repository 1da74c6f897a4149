"""Membership protocol: suspicion, refutation, message loss, partitions and incarnations."""

import pytest

from balsamcleat.model import MemberStatus, VmId, VmKind, VmRecord, ZoneName
from fake_network import FakeNetwork

ALIVE, LEAVING, SUSPECT, DEAD = (
    MemberStatus.ALIVE,
    MemberStatus.LEAVING,
    MemberStatus.SUSPECT,
    MemberStatus.DEAD,
)
THREE_ZONES = {"a": 4, "b": 4, "c": 4}


def test_dead_vm_is_declared_dead_by_all_peers() -> None:
    network = FakeNetwork(THREE_ZONES)
    network.run(5)
    network.nodes["a-0"].running = False
    network.run(30)
    assert network.statuses_of("a-0") == {DEAD}
    assert all(network.statuses_of(vm_id) == {ALIVE} for vm_id in network.nodes if vm_id != "a-0")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_peer_is_declared_dead_at_twenty_percent_message_loss(seed: int) -> None:
    network = FakeNetwork(THREE_ZONES, seed=seed, loss=0.2)
    network.run(150)
    assert not [change for change in network.status_changes if change[3] is DEAD]
    assert all(network.statuses_of(vm_id) <= {ALIVE, SUSPECT} for vm_id in network.nodes)


def test_paused_vm_refutes_its_suspicion_and_suspects_no_peer() -> None:
    network = FakeNetwork(THREE_ZONES)
    network.run(5)
    paused = network.nodes["b-1"]
    paused.paused = True
    network.run(3)
    paused.paused = False
    network.run(10)
    assert network.statuses_of("b-1") == {ALIVE}
    assert not [change for change in network.status_changes if change[1] == "b-1"]


def test_vm_paused_until_it_was_declared_dead_rejoins() -> None:
    network = FakeNetwork(THREE_ZONES)
    network.run(5)
    network.nodes["b-1"].paused = True
    network.run(60)
    assert network.statuses_of("b-1") == {DEAD}
    network.nodes["b-1"].paused = False
    network.run(20)
    assert network.statuses_of("b-1") == {ALIVE}
    assert all(network.statuses_of(vm_id) == {ALIVE} for vm_id in network.nodes)


def test_all_peers_are_alive_after_a_partition_heals() -> None:
    network = FakeNetwork(THREE_ZONES)
    network.run(5)
    network.cut_links = {frozenset("ab"), frozenset("ac")}
    network.run(60)
    assert network.nodes["b-0"].membership.members[VmId("a-0")].status is DEAD
    network.cut_links = set()
    network.run(60)
    assert all(network.statuses_of(vm_id) == {ALIVE} for vm_id in network.nodes)


def test_dead_vm_stays_dead_after_a_partition_with_message_loss_heals() -> None:
    network = FakeNetwork(THREE_ZONES, seed=4, loss=0.2)
    network.run(5)
    network.cut_links = {frozenset("ab"), frozenset("ac")}
    network.nodes["b-3"].running = False
    network.run(60)
    network.cut_links = set()
    network.run(90)
    assert network.statuses_of("b-3") == {DEAD}
    others = [vm_id for vm_id in network.nodes if vm_id != "b-3"]
    assert all(network.statuses_of(vm_id) <= {ALIVE, SUSPECT} for vm_id in others)


@pytest.mark.parametrize("incarnation", [2, 0])
def test_restarted_vm_gets_a_higher_incarnation_even_with_an_earlier_clock(
    incarnation: int,
) -> None:
    network = FakeNetwork(THREE_ZONES)
    network.run(5)
    network.nodes["c-0"].running = False
    network.run(30)
    fresh = network.add("c-0", "c", seed=9, incarnation=incarnation)
    fresh.membership.apply_vm_list(tuple(network.records), network.time.now_s)
    network.run(30)
    assert network.statuses_of("c-0") == {ALIVE}
    assert fresh.membership.self_member.incarnation > 1


def test_leaving_vm_is_not_marked_alive_by_a_stale_view() -> None:
    network = FakeNetwork(THREE_ZONES, loss=0.2, seed=7)
    network.run(5)
    node = network.nodes["a-2"]
    network.send(node, node.membership.leave())
    network.run(3)
    assert network.statuses_of("a-2") <= {LEAVING, SUSPECT}
    network.status_changes.clear()
    network.run(60)
    assert not [
        change for change in network.status_changes if change[2] == "a-2" and change[3] is ALIVE
    ]


def test_vm_list_marks_a_peer_as_leaving_and_removes_an_unlisted_one() -> None:
    network = FakeNetwork({"a": 3})
    network.run(2)
    machine = network.nodes["a-0"].membership
    records = [
        VmRecord(VmId("a-1"), VmKind.ENTRY, ZoneName("a"), "", "a-1:1", leaving=True),
    ]
    machine.apply_vm_list(tuple(records), network.time.now_s)
    assert machine.members[VmId("a-1")].status is LEAVING
    network.nodes["a-2"].running = False
    network.run(30)
    machine.apply_vm_list(tuple(records), network.time.now_s + 601)
    assert VmId("a-2") not in machine.members


def test_new_configuration_version_reaches_all_vms_within_two_seconds() -> None:
    network = FakeNetwork(THREE_ZONES, loss=0.2, seed=5)
    network.run(5)
    network.nodes["a-0"].version = 7
    network.send(network.nodes["a-0"], network.nodes["a-0"].membership.announce_configuration())
    network.run(2)
    assert {node.version for node in network.nodes.values()} == {7}


@pytest.mark.bounds
def test_only_the_own_zone_is_probed_beyond_the_full_mesh_limit() -> None:
    network = FakeNetwork({"a": 35, "b": 35}, encoding=True)
    network.run(8)
    network.nodes["a-1"].running = False
    network.run(22)
    assert network.nodes["a-0"].membership.members[VmId("a-1")].status is DEAD
    assert network.nodes["b-0"].membership.members[VmId("a-1")].status is not DEAD
    summary = network.nodes["b-0"].membership.zone_view.summary_by_zone[ZoneName("a")].summary
    assert summary.alive == 34
    # The bound on all control traffic is 9 KB/s per VM; membership can use half of it.
    assert network.bytes_sent / len(network.nodes) / network.time.now_s < 4500
