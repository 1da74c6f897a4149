"""Readiness of a VM as its connections to the store and to its peers fail and recover."""

import pytest

from balsamcleat.decisions.readiness import PeerView, Readiness, StoreView, decide_readiness

STORE_ANSWERING = StoreView(0.2)
STORE_SILENT = StoreView(3.0)


def decide(store: StoreView, peers: PeerView, *, leaving=False, configured=True) -> Readiness:
    return decide_readiness(leaving=leaving, configured=configured, store=store, peers=peers)


@pytest.mark.parametrize(
    ("store", "peers", "expected"),
    [
        (STORE_ANSWERING, PeerView(), Readiness.READY),
        (STORE_ANSWERING, PeerView(4, 0, 0), Readiness.READY),
        (STORE_SILENT, PeerView(4, 4, 0), Readiness.STORE_UNAVAILABLE),
        (STORE_SILENT, PeerView(4, 2, 1), Readiness.STORE_UNREACHABLE),
        (STORE_SILENT, PeerView(4, 0, 0), Readiness.ISOLATED),
        (STORE_SILENT, PeerView(), Readiness.STORE_UNAVAILABLE),
    ],
)
def test_vm_is_unready_only_if_its_peers_are_better_connected(store, peers, expected) -> None:
    assert decide(store, peers) is expected


def test_vm_without_a_configuration_or_leaving_is_not_ready() -> None:
    assert not decide(STORE_ANSWERING, PeerView(), configured=False).is_ready
    assert not decide(STORE_ANSWERING, PeerView(), leaving=True).is_ready
    assert decide(STORE_SILENT, PeerView(4, 4, 0)).is_ready
