"""Records of the ordered numbers of targets in the row store, one row per service and zone."""

import msgspec

from balsamcleat.decisions.scaling_types import PoolOrder, ZoneOrders
from balsamcleat.decoding import decode_json
from balsamcleat.model import ServiceName, ZoneName
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.row_pages import read_part

__all__ = ["SCALING_TABLE", "ScalingRecords", "ZoneKey"]

SCALING_TABLE = "scaling"
MS_PER_S = 1000.0

ZoneKey = tuple[ServiceName, ZoneName]


class ScalingRowValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a row; times are on the store's clock in milliseconds, 0 for never."""

    firm: int = 0
    firm_ordered_ms: int = 0
    reclaimable: int = 0
    reclaimable_ordered_ms: int = 0
    released_ms: int = 0
    reclaimed_ms: int = 0


class ScalingRecords:
    """Reads and writes the rows; a write is conditional on the version that was read last.

    Args:
        store: Row store that holds the records.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.versions: dict[ZoneKey, int] = {}

    async def read(self) -> dict[ZoneKey, ZoneOrders]:
        """Return the orders of all services and zones."""
        orders: dict[ZoneKey, ZoneOrders] = {}
        versions: dict[ZoneKey, int] = {}
        for row in (await read_part(self.store, SCALING_TABLE, "")).rows:
            key = decode_key(row.key)
            versions[key] = row.version
            orders[key] = decode_orders(row)
        self.versions = versions
        return orders

    async def write(self, key: ZoneKey, orders: ZoneOrders) -> bool:
        """Write a row unless it changed since it was read; return whether it was written."""
        row_key = RowKey(SCALING_TABLE, "", f"{key[0]}/{key[1]}")
        write = RowWrite(row_key, encode_orders(orders))
        version = self.versions.get(key, ABSENT_VERSION)
        outcome = await self.store.commit(RowCommit((write,), ((row_key, version),)))
        if isinstance(outcome, RowConflict):
            return False
        self.versions[key] = outcome.version
        return True


def decode_key(key: RowKey) -> ZoneKey:
    """Return the service and the zone of a row."""
    service, _, zone = key.key.rpartition("/")
    return ServiceName(service), ZoneName(zone)


def decode_orders(row: RowChange) -> ZoneOrders:
    """Return the orders in a row; an unreadable one counts as that of no order."""
    try:
        value = decode_json(row.value or b"", ScalingRowValue)
    except msgspec.DecodeError:
        value = ScalingRowValue()
    return ZoneOrders(
        PoolOrder(value.firm, value.firm_ordered_ms / MS_PER_S),
        PoolOrder(value.reclaimable, value.reclaimable_ordered_ms / MS_PER_S),
        decode_time_s(value.released_ms),
        decode_time_s(value.reclaimed_ms),
    )


def encode_orders(orders: ZoneOrders) -> bytes:
    """Return the value of a row."""
    return msgspec.json.encode(
        ScalingRowValue(
            orders.firm.count,
            int(orders.firm.ordered_s * MS_PER_S),
            orders.reclaimable.count,
            int(orders.reclaimable.ordered_s * MS_PER_S),
            encode_time_ms(orders.released_s),
            encode_time_ms(orders.reclaimed_s),
        )
    )


def decode_time_s(time_ms: int) -> float:
    """Return a time in seconds; negative infinity for never."""
    return time_ms / MS_PER_S if time_ms else float("-inf")


def encode_time_ms(time_s: float) -> int:
    """Return a time in milliseconds; 0 for never."""
    return int(max(0.0, time_s) * MS_PER_S)
