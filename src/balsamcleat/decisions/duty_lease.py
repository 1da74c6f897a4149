"""Leases on duties, which keep the calls of two VMs a minimum gap apart.

Failures: the holder is killed, frozen or cut off from the store while its calls are in flight, and
another VM performs the duty. The receivers of calls don't all check fencing tokens, so a token
alone gives no protection. A holder writes to the lease row that it is about to send calls before
the first one, and that it has finished after the last one. A VM that acquires the lease of a dead
holder that had finished waits only until the gap since the last call has passed. If the holder had
not finished, it waits the full gap from now on.

VMs don't compare clocks: a VM takes a holder for dead when the row was unchanged for the lease term
on the VM's own clock, and a holder stops before that on its own.
"""

from dataclasses import dataclass, replace

__all__ = [
    "HOLDER_CALL_WINDOW_S",
    "LATE_RENEWAL_S",
    "LEASE_TERM_S",
    "RENEW_INTERVAL_S",
    "UNFIT_DELAY_S",
    "DutyLeaseState",
    "HeldDutyLease",
    "LeaseRowWatch",
    "StoreTimeBound",
    "first_call_ms",
]

RENEW_INTERVAL_S = 0.5
# A renewal that comes later than this after the previous one endangers the calls of the holder.
LATE_RENEWAL_S = 1.0
# The holder sends no call later than this after it requested its last renewal.
HOLDER_CALL_WINDOW_S = 1.2
# Another VM acquires a lease whose row stayed unchanged for this long.
LEASE_TERM_S = 2.0
# A VM that is unfit for a duty waits this much longer for others to take the lease.
UNFIT_DELAY_S = 2.0
# Added to the gap to cover clock drift between VMs and the network latency of a call.
GAP_MARGIN_MS = 200


@dataclass(frozen=True, slots=True)
class DutyLeaseState:
    """Content of a lease row.

    Attributes:
        vm: Name of the VM that holds the lease; empty after a release.
        boot: Identifier of the process start of the holder.
        calling: Whether calls may be in flight.
        last_call_ms: Time by which the last call had ended, on the store's clock, in ms.
    """

    vm: str
    boot: str
    calling: bool
    last_call_ms: int


@dataclass(slots=True)
class HeldDutyLease:
    """Lease that this VM holds.

    Attributes:
        state: Row content that was written last.
        fencing_token: Version of the lease row at the acquisition, sent with each call.
        row_version: Current version of the lease row.
        renewed_at_s: Time at which the last successful write was requested, on the holder's clock.
        first_call_ms: Time before which no call can be sent, on the store's clock, in ms.
        last_call_ms: Time by which the last call had ended, on the store's clock, in ms.
        is_open: Whether calls can be sent. It is set after the row states so, and cleared before
            another state is written, as that write may take effect at any time from then on.
        is_ending: Whether this VM releases the lease.
    """

    state: DutyLeaseState
    fencing_token: int
    row_version: int
    renewed_at_s: float
    first_call_ms: int
    last_call_ms: int
    is_open: bool = False
    is_ending: bool = False

    def can_call(self, now_s: float, store_ms: int) -> bool:
        """Return whether a call can be sent now.

        Args:
            now_s: Time on the holder's clock, which includes time in which the VM was frozen.
            store_ms: A time that the store's clock has certainly reached, in ms.
        """
        is_in_term = now_s < self.renewed_at_s + HOLDER_CALL_WINDOW_S
        return self.is_open and is_in_term and store_ms >= self.first_call_ms

    def close(self, latest_ms: int) -> None:
        """Allow no more calls.

        Args:
            latest_ms: A time that the store's clock has certainly not passed, in ms.
        """
        if self.is_open:
            self.is_open = False
            self.last_call_ms = latest_ms

    def renewed_state(self) -> DutyLeaseState:
        """Return the row content that renews the lease."""
        return replace(self.state, calling=self.is_open, last_call_ms=self.last_call_ms)

    def opened_state(self) -> DutyLeaseState:
        """Return the row content that announces calls."""
        return replace(self.renewed_state(), calling=True)

    def released_state(self) -> DutyLeaseState:
        """Return the row content that frees the lease for the next holder."""
        return DutyLeaseState("", "", False, self.last_call_ms)

    def record_write(self, state: DutyLeaseState, version: int, requested_at_s: float) -> None:
        """Record that the row was written with this content, and when that was requested."""
        self.state = state
        self.row_version = version
        self.renewed_at_s = requested_at_s
        self.is_open = state.calling


class LeaseRowWatch:
    """Observes the row of a lease that this VM does not hold.

    Args:
        vm: Name of this VM.
        boot: Identifier of this start of the VM's process.
    """

    def __init__(self, vm: str, boot: str) -> None:
        self.vm = vm
        self.boot = boot
        # Version of the row, and local time in seconds when it was first read.
        self.observed_row: tuple[int, float] | None = None

    def reset(self) -> None:
        """Start anew; while the store fails, an unchanged row does not show a dead holder."""
        self.observed_row = None

    def can_acquire(
        self, state: DutyLeaseState, version: int, now_s: float, *, is_fit: bool
    ) -> bool:
        """Return whether the lease is free or its holder is considered dead.

        Args:
            state: Content of the row.
            version: Version of the row.
            now_s: Time on this VM's clock.
            is_fit: Whether this VM can perform the duty; if not, another VM is better off.
        """
        if self.observed_row is None or self.observed_row[0] != version:
            self.observed_row = (version, now_s)
        unchanged_s = now_s - self.observed_row[1]
        # The duty may be what ended the earlier process of this VM, so the others come first.
        is_of_earlier_process = state.vm == self.vm and state.boot != self.boot
        if not is_fit or is_of_earlier_process:
            return unchanged_s >= LEASE_TERM_S + UNFIT_DELAY_S
        # A row of this process is there if the response to its acquisition was lost.
        if state.vm in ("", self.vm):
            return True
        return unchanged_s >= LEASE_TERM_S


class StoreTimeBound:
    """Latest possible time of the store's clock, from its last response.

    A response that was slow, or was read late by a frozen VM, makes an estimate of the store's
    clock slow. The end of a call must not be recorded with a time before the call.
    """

    def __init__(self) -> None:
        self.store_ms = 0
        self.requested_at_s = 0.0

    def record_response(self, requested_at_s: float, store_ms: int) -> None:
        """Record the store's time in a response and when it was requested, on the local clock."""
        self.requested_at_s = requested_at_s
        self.store_ms = store_ms

    def latest_ms(self, now_s: float) -> int:
        """Return a time that the store's clock has not passed, in ms."""
        return self.store_ms + int((now_s - self.requested_at_s) * 1000) + 1


def first_call_ms(previous: DutyLeaseState | None, acquired_ms: int, gap_s: float) -> int:
    """Return when a new holder can send its first call, on the store's clock, in ms.

    Args:
        previous: Row content before the lease was acquired, or None if there was no row.
        acquired_ms: Time at which the lease was acquired, on the store's clock.
        gap_s: Minimum time between the calls of two holders.
    """
    if previous is None or (not previous.calling and not previous.last_call_ms):
        return acquired_ms
    last_call_ms = acquired_ms if previous.calling else previous.last_call_ms
    return last_call_ms + int(gap_s * 1000) + GAP_MARGIN_MS
