"""Whether a VM asks the balancer for callers, as its store and its peers come and go."""

import pytest

from balsamcleat.decisions.readiness import PeerView, Readiness, StoreView, decide_readiness

FINE = StoreView(0.2)
SILENT = StoreView(3.0)


def decide(store: StoreView, peers: PeerView, *, leaving=False, configured=True) -> Readiness:
    return decide_readiness(leaving=leaving, configured=configured, store=store, peers=peers)


@pytest.mark.parametrize(
    ("store", "peers", "expected"),
    [
        (FINE, PeerView(), Readiness.READY),
        (FINE, PeerView(4, 0, 0), Readiness.READY),
        (SILENT, PeerView(4, 4, 0), Readiness.STORE_UNAVAILABLE),
        (SILENT, PeerView(4, 2, 1), Readiness.STORE_UNREACHABLE),
        (SILENT, PeerView(4, 0, 0), Readiness.ISOLATED),
        (SILENT, PeerView(), Readiness.STORE_UNAVAILABLE),
    ],
)
def test_only_a_vm_that_is_worse_off_than_others_steps_back(store, peers, expected) -> None:
    assert decide(store, peers) is expected


def test_a_vm_without_a_configuration_or_about_to_leave_is_not_ready() -> None:
    assert not decide(FINE, PeerView(), configured=False).is_ready
    assert not decide(FINE, PeerView(), leaving=True).is_ready
    assert decide(SILENT, PeerView(4, 4, 0)).is_ready
