"""Builds and runs an entry VM's process on the operators' platform."""

import random
import signal
import uuid
from pathlib import Path

import anyio
import anyio.abc
import structlog

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.readiness import Readiness, StoreView, decide_readiness, should_ask_peers
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.entry.reload import SettingsWatch
from balsamcleat.errors import PlatformError
from balsamcleat.http1 import (
    ClientPool,
    HttpServer,
    PoolLimits,
    Request,
    Responder,
    Response,
    ServerLimits,
    listen,
)
from balsamcleat.log_output import BoundedOutput
from balsamcleat.logs import bounded_logs
from balsamcleat.platform import (
    CORRELATION_HEADER,
    OPERATOR_TABLE,
    REPLICA_TABLE,
    PlatformRowStore,
    PlatformSettings,
    ReplicaControl,
    load_platform_settings,
)
from balsamcleat.tasks.janitor import Janitor
from balsamcleat.tasks.live_forwarder import LiveForwarder
from balsamcleat.tasks.live_queues import LiveQueues
from balsamcleat.tasks.model_usage import ModelUsageReader
from balsamcleat.tasks.order_lease_keeper import OrderLeaseKeeper
from balsamcleat.tasks.pause_guard import PauseGuard
from balsamcleat.tasks.peers import PeerPoller, PeerRequestHandler, PeerState
from balsamcleat.tasks.relayed_store import RelayedRowStore, StoreRelay
from balsamcleat.tasks.replica_keeper import ReplicaKeeper
from balsamcleat.tasks.request_dispatcher import RequestDispatcher
from balsamcleat.tasks.rollout_handler import RolloutHandler
from balsamcleat.tasks.rollout_records import STEPS_TABLE, RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.routing_keeper import RoutingKeeper
from balsamcleat.tasks.sample_run import SampleRunner
from balsamcleat.tasks.shared_crash_history import SUSPECTS_TABLE, SharedCrashHistory
from balsamcleat.tasks.step_feed import StepFeed
from balsamcleat.tasks.step_transfer import StepTransfer
from balsamcleat.tasks.store_clock import StoreClock, boot_clock_s
from balsamcleat.tasks.stream_forwarder import StreamForwarder
from balsamcleat.tasks.table_follower import TableFollower
from balsamcleat.tasks.version_orders import VersionLoadController
from balsamcleat.tasks.vm_presence import VmPresence

__all__ = ["EntryNode", "run_entry"]

# The balancer takes a VM out after two misses a second apart; until then it sends callers.
BALANCER_LAG_S = 2.5
# Idle connections are kept this long after the request to stop, for callers that reuse them.
IDLE_GRACE_S = 4.0
# Kept back of the time between the request to stop and the kill.
STOP_MARGIN_S = 0.8
LEAVING_CHECK_S = 0.05
LOG_DRAIN_S = 0.2
ENDED_KEPT_S = 10.0
# A trainer's next step comes some seconds after the one before and finds the connections open.
TARGET_IDLE_S = 8.0
TARGET_CONNECTIONS = 256
# Named in deploy/system.toml, where metrics are fetched.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
TEXT = (("Content-Type", "text/plain; version=0.0.4"),)
# Stands for a store that never answered, in seconds.
NEVER_S = 999.0

log = structlog.get_logger()


class EntryNode:
    """All parts of one process, wired.

    Args:
        path: The settings file.
        settings: What it says of this VM.
        metrics: Counts what happens.
        output: Where log lines go.
    """

    def __init__(
        self,
        path: Path,
        settings: PlatformSettings,
        metrics: TextMetrics,
        output: BoundedOutput,
    ) -> None:
        self.settings = settings
        self.watch = SettingsWatch(path, settings, self.apply)
        self.metrics = metrics
        self.output = output
        self.boot = uuid.uuid4().hex[:12]
        generator = random.Random()
        store_pool = ClientPool(PoolLimits(connect_s=0.8, idle_connections=16))
        self.pool = ClientPool(
            PoolLimits(connect_s=0.5, idle_s=TARGET_IDLE_S, idle_connections=TARGET_CONNECTIONS),
            CORRELATION_HEADER,
        )
        self.straight = PlatformRowStore(
            settings.store, store_pool, lambda: len(self.presence.watch.observations)
        )
        self.peer_pool = ClientPool(PoolLimits(connect_s=0.3, idle_connections=16))
        self.store = RelayedRowStore(
            self.straight, self.peer_pool, lambda: self.peers.vms_reaching_store
        )
        self.directory = ReplicaDirectory()
        self.book = ReplicaStatsRegistry()
        self.routing = RoutingKeeper(self.wake)
        self.replicas = ReplicaKeeper(self.directory, self.book, self.pool, self.wake)
        self.time = StoreClock()
        self.presence = VmPresence(
            self.store,
            VmRow(settings.vm, self.boot, settings.peer_address, settings.zone, 0),
            self.time,
            lambda: bool(self.runner.steps) or self.lease.lease is not None,
            generator,
        )
        self.lease = OrderLeaseKeeper(
            self.store, settings.vm, self.boot, settings.order_gap_s, self.time, generator
        )
        self.orders = VersionLoadController(
            self.lease,
            ReplicaControl(self.pool, settings.vm),
            self.directory,
            self.book,
            lambda: self.routing.table,
            lambda: self.routing.named_versions,
            lambda model: self.uses.usage(model),
        )
        self.records = RolloutRecords(self.store)
        guard = PauseGuard(self.records, boot_clock_s, generator)
        self.runner = RolloutRunner(
            self.records,
            self.directory,
            self.book,
            SampleRunner(self.pool, self.book),
            settings.zone,
            lambda: self.routing.table,
            self.orders.loading_models,
            guard,
            generator,
        )
        self.claims = StepTransfer(
            settings.vm,
            self.boot,
            self.records,
            self.runner,
            lambda: self.routing.table,
            self.time.now_ms,
        )
        self.feed = StepFeed(
            settings.vm,
            self.boot,
            self.presence.watch,
            settings.results_kept_s,
            self.time.now_ms,
            self.claims.take_over,
            lambda step_id: self.desk.is_running(step_id),
            lambda step_id: self.claims.handle_step_ended(step_id, self.tasks),
            self.claims.handle_owner_change,
        )
        self.runner.on_rows = guard.on_rows = self.feed.apply_rows
        self.janitor = Janitor(
            self.records,
            lambda: self.feed.steps,
            self.presence.watch,
            lambda: self.lease.lease is not None,
            self.time.now_ms,
            settings.results_kept_s,
        )
        self.desk = RolloutHandler(
            settings.vm,
            self.boot,
            self.records,
            self.runner,
            lambda: self.feed.steps,
            lambda: self.routing.table,
            self.time.now_ms,
            self.presence.watch,
            lambda: should_ask_peers(self.store_view()),
        )
        self.peers = PeerPoller(
            self.peer_pool,
            settings.vm,
            settings.zone,
            self.presence.watch.live_rows,
            self.straight_view,
            generator,
        )
        self.uses = ModelUsageReader(
            lambda: self.feed.steps,
            self.time.now_ms,
            settings.results_kept_s * 1000,
        )
        self.board = SharedCrashHistory(self.store, self.runner.start_task)
        self.queues = LiveQueues(self.directory, self.book, generator)
        forwarder = LiveForwarder(
            self.directory, self.book, self.pool, settings.zone, generator, self.board, self.queues
        )
        self.door = RequestDispatcher(
            lambda: self.routing.table, forwarder, StreamForwarder(forwarder), self.desk
        )
        self.followers = [
            TableFollower(self.store, OPERATOR_TABLE, self.routing, generator, single_part=True),
            TableFollower(self.store, REPLICA_TABLE, self.replicas, generator, single_part=True),
            TableFollower(self.store, STEPS_TABLE, self.feed, generator, single_part=False),
            TableFollower(self.store, SUSPECTS_TABLE, self.board, generator, single_part=False),
        ]
        self.front = HttpServer(listen(settings.front_address), self.door.answer, self.door.limits)
        self.ready = HttpServer(
            listen(settings.ready_address), self.answer_ready, lambda: ServerLimits()
        )
        self.peer_server = HttpServer(
            listen(settings.peer_address),
            PeerRequestHandler(self.peer_state, StoreRelay(self.straight)).handle,
            lambda: ServerLimits(),
        )
        self.metrics_server = HttpServer(
            listen(f"{settings.ip}:{METRICS_PORT}"), self.answer_metrics, lambda: ServerLimits()
        )
        self.readiness = Readiness.NO_CONFIGURATION
        self.leaving = False
        self.tasks: anyio.abc.TaskGroup | None = None

    def wake(self) -> None:
        """Let those who decide by the configuration or the targets look again."""
        self.runner.wake()
        self.orders.wake()

    def store_view(self) -> StoreView:
        """Return how this VM reaches the store, by whichever way."""
        return StoreView(max(0.0, anyio.current_time() - self.store.answered_at_s))

    def straight_view(self) -> StoreView:
        """Return how this VM reaches the store without another's help."""
        silence_s = max(0.0, anyio.current_time() - self.straight.answered_at_s)
        return StoreView(silence_s, is_failing=self.store.path.is_failing)

    def peer_state(self) -> PeerState:
        """Return what this VM says of itself to others."""
        view = self.straight_view()
        return PeerState(self.boot, min(NEVER_S, view.silence_s), view.is_failing)

    async def answer_ready(self, request: Request, responder: Responder) -> None:
        """Say whether the balancer should send callers here."""
        readiness = decide_readiness(
            leaving=self.leaving,
            configured=self.routing.table is not None,
            store=self.store_view(),
            peers=self.peers.view,
        )
        if readiness is not self.readiness:
            log.info(
                "readiness",
                now=readiness.value,
                before=self.readiness.value,
                store_silence_s=round(min(NEVER_S, self.store_view().silence_s), 2),
                peers_answered=self.peers.view.answered_count,
                peers_reach_store=self.peers.view.reaching_store_count,
            )
            self.readiness = readiness
        await responder.send(Response(200 if readiness.is_ready else 503))

    async def run(self) -> None:
        """Run until told to stop."""
        log.info(
            "start", boot=self.boot, zone=self.settings.zone, store=self.settings.store.address
        )
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for follower in self.followers:
                tasks.start_soon(follower.run)
            for part in (
                self.replicas.run,
                self.queues.run,
                self.presence.run,
                self.lease.run,
                self.runner.run,
                self.orders.run,
                self.feed.run,
                self.front.run,
                self.ready.run,
                self.peers.run,
                self.peer_server.run,
                self.metrics_server.run,
                self.watch.run,
                self.janitor.run,
                self.keep_house,
            ):
                tasks.start_soon(part)
            await self.wait_for_stop()
            await self.leave()
            tasks.cancel_scope.cancel()
        log.info("stop", boot=self.boot)
        self.output.drain()

    async def answer_metrics(self, request: Request, responder: Responder) -> None:
        """Answer with counters, gauges and latencies as text."""
        if request.path != METRICS_PATH:
            await responder.send(Response(404))
            return
        self.metrics.gauge("steps.owned", len(self.runner.steps))
        running = sum(len(step.running) for step in self.runner.steps.values())
        self.metrics.gauge("samples.running", running)
        self.metrics.gauge("requests.active", self.front.active)
        self.metrics.gauge("connections.callers", len(self.front.connections))
        self.metrics.gauge("connections.opened", self.pool.opened)
        self.metrics.gauge("answers.foreign", self.pool.foreign_answers)
        self.metrics.gauge("log.bytes_waiting", self.output.waiting_bytes)
        await responder.send(Response(200, TEXT, self.metrics.render()))

    def apply(self, settings: PlatformSettings) -> None:
        """Put new settings into force; addresses to listen at need a new start."""
        self.settings = settings
        self.straight.use(settings.store)
        self.lease.order_gap_s = settings.order_gap_s

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM; SIGHUP only says that the settings file changed."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number != signal.SIGHUP:
                    log.info("stop asked for", signal=number)
                    return
                self.watch.reload("SIGHUP")

    async def leave(self) -> None:
        """Hand over steps, serve callers until the balancer knows, then end."""
        began_s = anyio.current_time()
        self.leaving = True
        self.desk.accepting = False
        self.feed.accepting = False
        self.runner.leaving = True
        self.front.leave()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.hand_over)
            await self.finish_serving(began_s)
            tasks.cancel_scope.cancel()
        self.front.stop_accepting()

    async def finish_serving(self, began_s: float) -> None:
        """Serve until the balancer knows and nobody waits, or the time is over."""
        last_s = began_s + self.settings.grace_s - STOP_MARGIN_S
        while anyio.current_time() < last_s:
            await anyio.sleep(LEAVING_CHECK_S)
            passed_s = anyio.current_time() - began_s
            if passed_s >= IDLE_GRACE_S:
                self.front.close_idle()
            unused = passed_s >= IDLE_GRACE_S or not self.front.connections
            if passed_s >= BALANCER_LAG_S and unused and not self.front.active:
                return

    async def hand_over(self) -> None:
        """Give up all steps and the lease; a store that is away ends the attempt."""
        try:
            await self.presence.announce_leaving()
            await self.claims.hand_over()
            await self.lease.release()
            await self.presence.announce_stopped()
        except PlatformError as error:
            log.warning("not all handed over", reason=str(error))

    async def keep_house(self) -> None:
        """Write out waiting log lines and forget steps that ended a while ago."""
        while True:
            await anyio.sleep(LOG_DRAIN_S)
            self.output.drain()
            now_s = anyio.current_time()
            for step in list(self.runner.steps.values()):
                if step.ended and now_s - step.ended_at_s > ENDED_KEPT_S:
                    del self.runner.steps[step.step_id]


async def run_entry(settings_path: Path) -> None:
    """Run an entry VM's process by the platform's settings file."""
    settings = load_platform_settings(settings_path)
    metrics = TextMetrics()
    output = bounded_logs(settings.vm, metrics)
    await EntryNode(settings_path, settings, metrics, output).run()
