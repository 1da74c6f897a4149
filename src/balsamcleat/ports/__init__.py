"""Abstract interfaces to the clock, the network, the platform services and the targets."""

from balsamcleat.ports.clock import Clock
from balsamcleat.ports.engine import Engine, Fence, OrderAccepted, OrderRejected
from balsamcleat.ports.metrics import Metrics
from balsamcleat.ports.objects import ObjectStore
from balsamcleat.ports.peers import DatagramHandler, PeerTransport, RequestHandler
from balsamcleat.ports.plain_service import PlainService
from balsamcleat.ports.randomness import Randomness
from balsamcleat.ports.scorer import Scorer
from balsamcleat.ports.table import (
    ABSENT,
    Committed,
    Conflicted,
    Row,
    Table,
    Transaction,
    Write,
)
from balsamcleat.ports.trainer import (
    BatchReady,
    NoBatchYet,
    PullOutcome,
    PullRejected,
    StepGone,
    TrainerService,
)
from balsamcleat.ports.vm_list import VmList
from balsamcleat.ports.weight_store import WeightRecord, WeightStore

__all__ = [
    "ABSENT",
    "BatchReady",
    "Clock",
    "Committed",
    "Conflicted",
    "DatagramHandler",
    "Engine",
    "Fence",
    "Metrics",
    "NoBatchYet",
    "ObjectStore",
    "OrderAccepted",
    "OrderRejected",
    "PeerTransport",
    "PlainService",
    "PullOutcome",
    "PullRejected",
    "Randomness",
    "RequestHandler",
    "Row",
    "Scorer",
    "StepGone",
    "Table",
    "TrainerService",
    "Transaction",
    "VmList",
    "WeightRecord",
    "WeightStore",
    "Write",
]
