"""What VMs send each other, written and read by the code of one build; see ``build_codec.py``."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec

from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Request, Response
from balsamcleat.model import FailureKind, ServiceName, TargetId
from balsamcleat.model.replicas import Replica, ReplicaState, StreamSoftware
from balsamcleat.ports.rows import ABSENT_VERSION, RowChange, RowCommit, RowKey, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.hop_messages import (
    StartCheck,
    failure_response,
    parse_hop_request,
    parse_hop_result,
    result_headers,
    wrap_request,
)
from balsamcleat.tasks.peers import PeerPoller, PeerRequestHandler, PeerState
from balsamcleat.tasks.relayed_store import RelayedRowStore, StoreRelay
from balsamcleat.tasks.stream_register import STREAMS_PATH, StreamRegister
from balsamcleat.tasks.target_paths import REACH_PATH, TargetPaths

# Rows as ``[table, part, key, value]``, in the order of their keys.
Rows = list[tuple[str, str, str, bytes]]

VM, BOOT, ADDRESS, ZONE = "front-a-1", "0d6cb8d1f3a2", "10.0.0.7:8003", "bern-a"
PEER = VmRow("front-a-2", "1", "10.0.0.8:8003", ZONE, 1)
HOST, PATH = "team.example", "/rollouts/x"
STARTED_MS = 1_700_000_000_000
REPLICA = Replica(
    TargetId("app-0"),
    ServiceName("app"),
    "10.0.1.1:80",
    ZONE,
    ReplicaState.READY,
    8,
    started_ms=STARTED_MS,
)
CALL = Request("POST", "/path?q=1", (("Host", HOST), ("Attempt-Id", "a1")), b"body")
RELAYED_KEY = RowKey("t", "p", "k")


class FixedPool:
    """Connections to other VMs that record requests and answer with given responses."""

    def __init__(self, responses: list[Response]) -> None:
        self.responses = responses
        self.requests: list[tuple[str, bytes]] = []

    async def fetch(self, _address: str, request: Request, _timeout_s: float) -> Response:
        self.requests.append((request.target, request.body))
        return self.responses.pop(0) if self.responses else Response(503)


class Answer:
    """Responder that keeps the response."""

    response = Response(0)

    async def send(self, response: Response) -> None:
        self.response = response


async def response_of(handle: Callable[..., Any], request: Request) -> Response:
    answer = Answer()
    await handle(request, answer)
    return answer.response


def rows_of(store: MemoryRowStore) -> Rows:
    return [(k.table, k.part, k.key, value) for k, (value, _) in sorted(store.rows.items())]


def store_with(rows: Rows) -> MemoryRowStore:
    store = MemoryRowStore()
    for table, part, key, value in rows:
        store.apply(RowCommit((RowWrite(RowKey(table, part, key), value),)))
    return store


def changes_of(rows: Rows) -> tuple[RowChange, ...]:
    return tuple(RowChange(RowKey(t, p, k), value, 1) for t, p, k, value in rows)


async def write_hops() -> object:
    """Requests that are passed on: a plain one, and one with all marks."""
    return [
        encode_request(wrapped_call(StartCheck.NONE, False)),
        encode_request(wrapped_call(StartCheck.REQUIRED, True)),
    ]


def wrapped_call(check: StartCheck, marked: bool) -> Request:
    return wrap_request(CALL, REPLICA, check, needs_new_connection=marked, is_live=marked)


def encode_request(request: Request) -> tuple[str, str, tuple[tuple[str, str], ...], bytes]:
    return request.method, request.target, request.headers, request.body


async def read_hops(hops: list[Any]) -> object:
    return [parse_hop_request(Request(method, *rest)) for method, *rest in hops]


async def write_hop_results() -> object:
    """Headers of responses to requests that were passed on."""
    headers = (("Server-Stamp", "s"), ("Attempt-Id", "a1"))
    error = AttemptFailedError(
        "x", step="s", peer="app-0", perhaps_sent=False, kind=FailureKind.UNREACHED
    )
    return [
        result_headers(headers, is_start_certain=False, is_unframed=False),
        result_headers(headers, is_start_certain=True, is_unframed=True),
        failure_response(error).headers,
    ]


async def read_hop_results(results: list[Any]) -> object:
    return [parse_hop_result(tuple(headers)) for headers in results]


def register(pool: FixedPool) -> StreamRegister:
    directory = SimpleNamespace(certain_software=lambda origin: origin.software)
    return StreamRegister(VM, pool, lambda: [PEER], directory)


async def write_streams() -> object:
    """Message about a stream, and the answer to the question about it."""
    pool = FixedPool([])
    streams = register(pool)
    origin = StreamOrigin(StreamSoftware(ServiceName("llm"), "s1"), REPLICA.start, -1.0, True)
    streams.remember("a/1", origin)
    await streams.share(PEER.address, ["a/1"])
    question = Request("GET", f"{STREAMS_PATH}/a%2F1", ())
    return [pool.requests[0], (await response_of(streams.handle, question)).body]


async def read_streams(messages: list[Any]) -> object:
    (path, message), answer = messages
    pool = FixedPool([Response(200, (), answer)])
    streams = register(pool)
    response = await response_of(streams.handle, Request("POST", path, (), message))
    return {
        "status": response.status,
        "software": {name: streams.known_software(name) for name in streams.streams},
        "starts": [known.origin.start for known in streams.streams.values()],
        "answer": await streams.ask(PEER, "a/1"),
        "asked": pool.requests,
    }


async def write_states() -> object:
    """States of a VM that reaches the store, and of one whose calls fail."""
    states = [PeerState(BOOT, 0.2), PeerState(BOOT, 0.2, True), PeerState(BOOT, 7.5)]
    return [
        (await response_of(PeerRequestHandler(lambda s=state: s, {}).handle, state_request())).body
        for state in states
    ]


def state_request() -> Request:
    return Request("GET", "/state", (("Host", PEER.address),))


async def read_states(bodies: list[Any]) -> object:
    found = []
    for body in bodies:
        pool = FixedPool([Response(200, (), body)])
        poller: Any = SimpleNamespace(pool=pool)
        (result,) = await PeerPoller.poll(poller, [PEER])
        found.append((result.state, result.state and result.state.reaches_store))
    return found


def relayed_store(responses: list[Response]) -> tuple[RelayedRowStore, FixedPool]:
    pool = FixedPool(responses)
    store = RelayedRowStore(
        RowStoreView(MemoryRowStore()),
        pool,
        lambda: [PEER],
    )
    store.should_call_directly = lambda: False
    return store, pool


async def call_relayed(responses: list[Response]) -> tuple[list[object], FixedPool]:
    """Make each kind of call through another VM; return the outcomes and what was sent."""
    store, pool = relayed_store(responses)
    write = RowCommit((RowWrite(RELAYED_KEY, b"\x00v"),), ((RELAYED_KEY, ABSENT_VERSION),))
    deletion = RowCommit((RowWrite(RELAYED_KEY, None),), ((RELAYED_KEY, ABSENT_VERSION),))
    calls: tuple[Callable[[], Any], ...] = (
        lambda: store.commit(write),
        lambda: store.commit(deletion),
        lambda: store.read("t", "p", "a", "z", 10),
        lambda: store.parts("t", ""),
        lambda: store.changes("t", 0, 0.5),
    )
    outcomes: list[object] = []
    for call in calls:
        try:
            outcomes.append(await call())
        except Exception as error:
            outcomes.append(type(error).__name__)
    return outcomes, pool


async def write_relayed_calls() -> object:
    return (await call_relayed([]))[1].requests


async def read_relayed_calls(requests: list[Any]) -> object:
    """Return what the calls of another VM do to the store, and the responses' statuses."""
    store = MemoryRowStore()
    relay = StoreRelay(RowStoreView(store))
    statuses = [
        (await response_of(relay.handle, Request("POST", path, (), body))).status
        for path, body in requests
    ]
    return {"statuses": statuses, "rows": rows_of(store)}


async def write_relayed_replies() -> object:
    relay = StoreRelay(RowStoreView(MemoryRowStore()))
    _, pool = await call_relayed([])
    return [
        (await response_of(relay.handle, Request("POST", path, (), body))).body
        for path, body in pool.requests
    ]


async def read_relayed_replies(bodies: list[Any]) -> object:
    outcomes, _ = await call_relayed([Response(200, (), body) for body in bodies])
    # The time of the store is that of the process that wrote the reply.
    return [(type(outcome).__name__, without_time(outcome)) for outcome in outcomes]


def without_time(outcome: object) -> object:
    fields = msgspec.to_builtins(outcome)
    return (
        {k: v for k, v in fields.items() if k != "store_ms"} if isinstance(fields, dict) else fields
    )


async def write_reach() -> object:
    """Question which targets another VM reaches, and its answer."""
    pool = FixedPool([])
    asker: Any = SimpleNamespace(peer_pool=pool)
    await TargetPaths.ask_peers(asker, [PEER], [REPLICA])

    async def reached_targets(target_ids: list[str]) -> list[str]:
        return target_ids

    answerer: Any = SimpleNamespace(reached_targets=reached_targets)
    request = Request("POST", REACH_PATH, (), pool.requests[0][1])
    answer = await response_of(lambda *args: TargetPaths.handle(answerer, *args), request)
    return [pool.requests[0], answer.body]


async def read_reach(messages: list[Any]) -> object:
    (path, question), answer = messages
    asked: list[list[str]] = []

    async def reached_targets(target_ids: list[str]) -> list[str]:
        asked.append(target_ids)
        return []

    answerer: Any = SimpleNamespace(reached_targets=reached_targets)
    await response_of(
        lambda *args: TargetPaths.handle(answerer, *args), Request("POST", path, (), question)
    )
    asker: Any = SimpleNamespace(peer_pool=FixedPool([Response(200, (), answer)]))
    answers = await TargetPaths.ask_peers(asker, [PEER], [REPLICA])
    return {"path": path, "asked": asked, "reached": [sorted(a.reached) for a in answers]}


# Of each kind of message: how it is written, and how it is read.
MESSAGE_CODECS: dict[str, tuple[Callable[[], Any], Callable[[Any], Any]]] = {
    "hops": (write_hops, read_hops),
    "hop results": (write_hop_results, read_hop_results),
    "streams": (write_streams, read_streams),
    "states": (write_states, read_states),
    "relayed calls": (write_relayed_calls, read_relayed_calls),
    "relayed replies": (write_relayed_replies, read_relayed_replies),
    "reach": (write_reach, read_reach),
}
