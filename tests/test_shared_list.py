"""VM list cache: read rate of a zone, reported changes, and leaving VMs that stay leaving."""

import random
from dataclasses import replace

from balsamcleat.decisions.shared_list import VmListCache
from balsamcleat.model import VmId, VmKind, VmRecord, ZoneName

ZONE = ZoneName("a")


def vm(name: str, zone: str = "a", leaving: bool = False) -> VmRecord:
    return VmRecord(VmId(name), VmKind.TARGET, ZoneName(zone), f"{name}:1", leaving=leaving)


def make_cache() -> VmListCache:
    return VmListCache(ZONE, random.Random(1))


def test_first_read_reports_no_changes_and_later_reads_do() -> None:
    cache = make_cache()
    assert cache.apply_zone_read((vm("x"), vm("y"))) == ()
    assert cache.apply_zone_read((vm("x"), vm("y", leaving=True))) == (vm("y", leaving=True),)
    assert cache.apply_zone_read((vm("x"), vm("y", leaving=True))) == ()


def test_leaving_target_stays_leaving_after_a_stale_read_or_peer_record() -> None:
    cache = make_cache()
    cache.apply_zone_read((vm("x"),))
    assert cache.apply_peer_records((vm("x", leaving=True),))
    assert cache.apply_zone_read((vm("x"),)) == ()
    assert not cache.apply_peer_records((vm("x"),))
    assert cache.records() == (vm("x", leaving=True),)


def test_leaving_vm_that_returns_at_another_address_replaces_its_record() -> None:
    cache = make_cache()
    cache.apply_zone_read((vm("x", leaving=True),))
    moved = replace(vm("x"), http_address="x:2")
    assert cache.apply_zone_read((moved,)) == (moved,)


def test_peer_records_of_another_zone_are_ignored() -> None:
    cache = make_cache()
    assert not cache.apply_peer_records((vm("x", zone="b"),))


def test_zone_reads_the_list_once_a_second_regardless_of_its_size() -> None:
    cache = make_cache()
    for population in (1, 4, 20):
        draws = [cache.read_interval_s(population) for _ in range(2000)]
        assert 0.95 < population / (sum(draws) / len(draws)) < 1.05
