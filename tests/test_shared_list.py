"""The VM list read in turns: few reads, news in time, nothing that leaves comes back."""

import random
from dataclasses import replace

from balsamcleat.decisions.shared_list import VmListCache
from balsamcleat.model import VmId, VmKind, VmRecord, ZoneName

ZONE = ZoneName("a")


def vm(name: str, zone: str = "a", leaving: bool = False) -> VmRecord:
    return VmRecord(VmId(name), VmKind.TARGET, ZoneName(zone), f"{name}:1", leaving=leaving)


def shared() -> VmListCache:
    return VmListCache(ZONE, random.Random(1))


def test_the_first_read_is_no_news_and_a_change_is() -> None:
    held = shared()
    assert held.apply_zone_read((vm("x"), vm("y"))) == ()
    assert held.apply_zone_read((vm("x"), vm("y", leaving=True))) == (vm("y", leaving=True),)
    assert held.apply_zone_read((vm("x"), vm("y", leaving=True))) == ()


def test_a_leaving_target_is_not_revived_by_a_lagging_read_or_a_peer() -> None:
    held = shared()
    held.apply_zone_read((vm("x"),))
    assert held.apply_peer_records((vm("x", leaving=True),))
    assert held.apply_zone_read((vm("x"),)) == ()
    assert not held.apply_peer_records((vm("x"),))
    assert held.records() == (vm("x", leaving=True),)


def test_a_vm_that_comes_back_at_another_address_is_a_new_one() -> None:
    held = shared()
    held.apply_zone_read((vm("x", leaving=True),))
    moved = replace(vm("x"), http_address="x:2")
    assert held.apply_zone_read((moved,)) == (moved,)


def test_news_of_another_zone_is_not_taken() -> None:
    held = shared()
    assert not held.apply_peer_records((vm("x", zone="b"),))


def test_a_zone_reads_once_a_second_whatever_its_size() -> None:
    held = shared()
    for population in (1, 4, 20):
        draws = [held.read_interval_s(population) for _ in range(2000)]
        assert 0.95 < population / (sum(draws) / len(draws)) < 1.05
