"""Builds and runs an entry VM's process on the operators' platform."""

import random
import uuid
from pathlib import Path

import anyio
import anyio.abc
import structlog

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.readiness import Readiness, StoreView, decide_readiness, should_ask_peers
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.stop_schedule import StopSchedule
from balsamcleat.decisions.team_access import is_configuration_current
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.entry.connections import EntryConnections
from balsamcleat.entry.drain import drain_callers
from balsamcleat.entry.duty_parts import DutyParts
from balsamcleat.entry.metrics_page import MetricsPage
from balsamcleat.entry.reload import SettingsWatcher
from balsamcleat.entry.scaling import build_scaling_controller
from balsamcleat.errors import PlatformError
from balsamcleat.http1 import (
    HttpServer,
    Request,
    Responder,
    Response,
    ServerLimits,
    listen,
)
from balsamcleat.log_output import BoundedOutput
from balsamcleat.logs import bounded_logs
from balsamcleat.platform import (
    OPERATOR_TABLE,
    REPLICA_TABLE,
    PlatformRowStore,
    PlatformSettings,
    ReplicaControl,
    load_platform_settings,
)
from balsamcleat.signal_receiver import handle_signals
from balsamcleat.tasks.crash_detector import CrashDetector
from balsamcleat.tasks.crash_guard import CrashGuard
from balsamcleat.tasks.hop_messages import HOP_PATH
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.live_forwarder import LiveForwarder
from balsamcleat.tasks.live_queues import LiveQueues
from balsamcleat.tasks.model_usage import ModelUsageReader
from balsamcleat.tasks.pause_guard import PauseGuard
from balsamcleat.tasks.peers import PeerPoller, PeerRequestHandler, PeerState
from balsamcleat.tasks.relayed_store import RELAY_PREFIX, RelayedRowStore, StoreRelay
from balsamcleat.tasks.replica_keeper import ReplicaKeeper
from balsamcleat.tasks.request_dispatcher import RequestDispatcher
from balsamcleat.tasks.rollout_handler import RolloutHandler
from balsamcleat.tasks.rollout_records import STEPS_TABLE, RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.routing_keeper import RoutingKeeper
from balsamcleat.tasks.row_garbage_collector import RowGarbageCollector
from balsamcleat.tasks.sample_run import SampleRunner
from balsamcleat.tasks.sample_scorer import SampleScorer
from balsamcleat.tasks.shared_crash_history import SUSPECTS_TABLE, SharedCrashHistory
from balsamcleat.tasks.step_access import StepAccess
from balsamcleat.tasks.step_feed import StepFeed
from balsamcleat.tasks.step_transfer import StepTransfer
from balsamcleat.tasks.store_clock import StoreClock, boot_clock_s
from balsamcleat.tasks.stream_forwarder import StreamForwarder
from balsamcleat.tasks.stream_register import STREAMS_PATH, StreamRegister
from balsamcleat.tasks.submission_handler import SubmissionHandler
from balsamcleat.tasks.submission_reader import StoreReads, SubmissionReader
from balsamcleat.tasks.table_follower import TableFollower
from balsamcleat.tasks.target_paths import REACH_PATH, TargetPaths
from balsamcleat.tasks.target_relay import TargetRelay
from balsamcleat.tasks.team_guard import TeamGuard
from balsamcleat.tasks.version_orders import VersionLoadController
from balsamcleat.tasks.vm_presence import VmPresence

__all__ = ["EntryProcess", "run_entry"]

HOUSEKEEPING_INTERVAL_S = 0.2
ENDED_STEP_RETENTION_S = 10.0
# deploy/system.toml names this port as the place to fetch metrics from.
METRICS_PORT = 9464
# Requests that are passed on have the headers of their callers and some more.
PEER_SERVER_LIMITS = ServerLimits(max_header_bytes=64 * 1024)
# Upper limit of the reported store silence in seconds; the silence of a store that has never
# answered is infinite.
MAX_REPORTED_SILENCE_S = 999.0
# At the end of the grace period, the last counts are written for at most this time, in seconds.
LAST_COUNTS_TIMEOUT_S = 0.4

log = structlog.get_logger()


class EntryProcess:
    """Process of an entry VM: creates, connects and runs its components.

    Args:
        path: Path of the settings file.
        settings: Settings of this VM as read from that file.
        metrics: Registry of this process's metrics.
        output: Buffered output of log lines.
    """

    def __init__(
        self,
        path: Path,
        settings: PlatformSettings,
        metrics: TextMetrics,
        output: BoundedOutput,
    ) -> None:
        self.settings = settings
        self.settings_watcher = SettingsWatcher(path, settings, self.apply_settings)
        self.metrics = metrics
        self.output = output
        self.boot = uuid.uuid4().hex[:12]
        self.stop_schedule = StopSchedule()
        generator = random.Random()
        self.connections = EntryConnections(settings)
        self.store_clock = StoreClock()
        self.direct_store = PlatformRowStore(
            settings.store,
            self.connections.store,
            lambda: len(self.presence.watch.observations),
            self.store_clock.synchronize_first,
        )
        self.store = RelayedRowStore(
            self.direct_store, self.connections.peers, lambda: self.peer_poller.vms_reaching_store
        )
        self.replica_directory = ReplicaDirectory()
        self.stats_registry = ReplicaStatsRegistry()
        self.routing_keeper = RoutingKeeper(self.wake_schedulers)
        self.replica_keeper = ReplicaKeeper(
            self.replica_directory,
            self.stats_registry,
            self.connections.targets,
            self.wake_schedulers,
            lambda target_id, started_ms: self.crash_detector.on_target_end(target_id, started_ms),
        )
        self.duties = DutyParts(
            lambda: self.settings,
            self.boot,
            self.store,
            self.store_clock,
            generator,
            lambda: not self.target_paths.has_lost_links(self.load_controller.engines()),
            self.connections.idle_watch,
        )
        self.presence = VmPresence(
            self.store,
            VmRow(settings.vm, self.boot, settings.peer_address, settings.zone, 0),
            self.store_clock,
            lambda: bool(self.runner.steps) or self.duties.leases.orders.is_held,
            generator,
            LimitSharing(
                settings.vm,
                self.stats_registry.limits,
                self.replica_directory,
                lambda: self.peer_poller.view.is_isolated,
            ),
            self.duties.usage_counter,
        )
        self.load_controller = VersionLoadController(
            self.duties.leases.orders,
            ReplicaControl(self.connections.targets, settings.vm),
            self.replica_directory,
            self.stats_registry,
            lambda: self.routing_keeper.table,
            lambda: self.routing_keeper.named_versions,
            lambda model: self.model_usage.usage(model),
            lambda replica: self.target_paths.suspect(replica),
        )
        self.records = RolloutRecords(self.store)
        pause_guard = PauseGuard(self.records, boot_clock_s, generator)
        self.target_paths = TargetPaths(
            settings.vm,
            settings.zone,
            self.connections.peers,
            self.connections.relays,
            self.presence.watch.live_rows,
            self.replica_directory,
            lambda replica: self.stats_registry.for_replica(replica).record_success(),
            generator,
        )
        self.crash_history = SharedCrashHistory(self.store, self.store_clock.now_ms)
        self.crash_detector = CrashDetector(
            self.crash_history,
            lambda start: self.replica_directory.is_listed(start.target_id, start.started_ms),
            self.reaches_store,
            lambda run: self.target_paths.examine(run.start.target_id),
        )
        self.live_queues = LiveQueues(self.replica_directory, self.stats_registry, generator)
        forwarder = LiveForwarder(
            self.replica_directory,
            self.stats_registry,
            self.connections.targets,
            settings.zone,
            generator,
            CrashGuard(self.crash_detector),
            self.live_queues,
            self.target_paths,
            self.duties.usage_counter,
            self.stop_schedule,
        )
        self.runner = RolloutRunner(
            self.records,
            self.replica_directory,
            self.stats_registry,
            SampleRunner(
                self.connections.targets,
                self.replica_directory,
                self.stats_registry,
                self.target_paths,
            ),
            SampleScorer(forwarder, lambda: self.routing_keeper.table, generator),
            settings.zone,
            lambda: self.routing_keeper.table,
            self.load_controller.loading_models,
            pause_guard,
            generator,
        )
        self.step_transfer = StepTransfer(
            settings.vm,
            self.boot,
            self.records,
            self.runner,
            lambda: self.routing_keeper.table,
        )
        self.step_feed = StepFeed(
            settings.vm,
            self.boot,
            self.presence.watch,
            self.store_clock.now_ms,
            self.step_transfer.take_over,
            lambda step_id: self.submission_handler.is_running(step_id),
            lambda step_id: self.step_transfer.handle_step_ended(step_id, self.tasks),
            self.step_transfer.handle_owner_change,
            lambda row: self.peer_poller.is_running(row),
        )
        self.connect_steps(pause_guard)
        self.create_duty_performers()
        self.row_garbage_collector = RowGarbageCollector(
            self.records,
            lambda: self.step_feed.steps,
            self.presence.watch,
            lambda: self.duties.leases.orders.is_held,
            self.store_clock.now_ms,
            settings.results_kept_s,
            self.step_feed.forget_deleted,
        )
        store_reads = StoreReads(self.connections.byte_budget)
        submission_reader = SubmissionReader(self.records, store_reads, self.runner.start_task)
        access = StepAccess(
            self.records,
            self.runner.steps,
            lambda: self.step_feed.steps,
            lambda: self.routing_keeper.table,
            submission_reader,
        )
        self.submission_handler = SubmissionHandler(
            settings.vm,
            self.boot,
            self.records,
            self.runner,
            lambda: self.step_feed.steps,
            lambda: self.routing_keeper.table,
            self.store_clock.now_ms,
            self.presence.watch,
            lambda: should_ask_peers(self.store_view()),
            access,
        )
        self.rollout_handler = RolloutHandler(
            self.records,
            self.runner,
            lambda: self.step_feed.steps,
            lambda: should_ask_peers(self.store_view()),
            access,
            self.submission_handler,
            store_reads,
            submission_reader,
        )
        self.peer_poller = PeerPoller(
            self.connections.peers,
            settings.vm,
            settings.zone,
            self.presence.watch.live_rows,
            self.direct_store_view,
            generator,
        )
        self.model_usage = ModelUsageReader(
            lambda: self.step_feed.steps,
            self.store_clock.now_ms,
            lambda: self.routing_keeper.table,
        )
        self.stream_register = StreamRegister(
            settings.vm,
            self.connections.peers,
            self.presence.watch.live_rows,
            self.replica_directory,
        )
        target_relay = TargetRelay(
            self.replica_directory,
            self.stats_registry,
            self.connections.targets,
            self.crash_detector,
            self.target_paths,
            lambda: self.routing_keeper.table,
        )
        self.dispatcher = RequestDispatcher(
            lambda: self.routing_keeper.table,
            forwarder,
            StreamForwarder(forwarder, self.stream_register),
            self.rollout_handler,
            TeamGuard(
                self.is_configuration_current, self.routing_keeper.confirmed_age_s, self.metrics
            ),
        )
        self.create_table_followers(generator)
        self.create_servers(target_relay)
        self.readiness = Readiness.NO_CONFIGURATION
        self.is_leaving = False
        self.stop_requested = anyio.Event()
        self.tasks: anyio.abc.TaskGroup | None = None

    def connect_steps(self, pause_guard: PauseGuard) -> None:
        """Connect what runs steps with what reads them from the store."""
        self.runner.on_rows = pause_guard.on_rows = self.step_feed.apply_rows
        self.runner.find_obstacle = self.step_feed.find_obstacle
        self.runner.is_configuration_current = self.is_configuration_current
        self.runner.configuration_version = self.configuration_version
        self.store.on_regained = self.runner.handle_store_regained

    def create_table_followers(self, generator: random.Random) -> None:
        """Create what keeps configuration, targets, steps and crash history up to date."""
        self.operator_follower = TableFollower(
            self.store,
            OPERATOR_TABLE,
            self.routing_keeper,
            generator,
            single_part=True,
            on_read=self.routing_keeper.record_read,
        )
        self.table_followers = [
            self.operator_follower,
            TableFollower(
                self.store,
                REPLICA_TABLE,
                self.replica_keeper,
                generator,
                single_part=True,
                on_read=self.replica_keeper.record_read,
            ),
            TableFollower(self.store, STEPS_TABLE, self.step_feed, generator, single_part=False),
            TableFollower(
                self.store, SUSPECTS_TABLE, self.crash_history, generator, single_part=False
            ),
        ]

    def create_servers(self, target_relay: TargetRelay) -> None:
        """Create the servers of callers, of the load balancer, of other VMs and of metrics."""
        self.front_server = HttpServer(
            listen(self.settings.front_address),
            self.dispatcher.answer,
            self.dispatcher.limits,
            self.connections.byte_budget,
            work_budget=self.connections.work_budget,
            overload_response=self.dispatcher.overload_response,
            fault_response=self.dispatcher.fault_response,
        )
        self.ready_server = HttpServer(
            listen(self.settings.ready_address), self.answer_readiness_check, lambda: ServerLimits()
        )
        self.peer_server = HttpServer(
            listen(self.settings.peer_address),
            PeerRequestHandler(
                self.peer_state,
                {
                    RELAY_PREFIX: StoreRelay(self.direct_store).handle,
                    STREAMS_PATH: self.stream_register.handle,
                    REACH_PATH: self.target_paths.handle,
                    HOP_PATH: target_relay.handle,
                },
            ).handle,
            lambda: PEER_SERVER_LIMITS,
            self.connections.byte_budget,
            work_budget=self.connections.work_budget,
            refuses_bodies=False,
        )
        self.metrics_server = HttpServer(
            listen(f"{self.settings.ip}:{METRICS_PORT}"),
            MetricsPage(
                self.metrics,
                self.runner,
                self.load_controller,
                self.duties,
                self.front_server,
                self.connections.targets,
                self.connections.byte_budget,
                self.stats_registry.limits,
                self.output,
            ).answer,
            lambda: ServerLimits(),
        )

    def create_duty_performers(self) -> None:
        """Create what performs the duties that the settings name."""
        if self.duties.usage is not None:
            self.duties.usage_reporter = self.duties.usage.create_reporter(
                self.store,
                self.duties.leases.usage,
                self.duties.client,
                self.presence.watch,
                self.metrics,
            )
        self.duties.scaling_controller = build_scaling_controller(
            self.duties.scaling_lease,
            self.duties.client,
            self.store,
            self.store_clock,
            self.routing_keeper,
            self.replica_directory,
            self.stats_registry,
            self.runner.view,
            lambda: self.step_feed.steps,
        )

    def wake_schedulers(self) -> None:
        """Wake the components that schedule work by the configuration and the targets."""
        table = self.routing_keeper.table
        if table is not None:
            self.replica_directory.apply_engine_services(table.engine_services)
        if self.duties.usage_counter is not None and self.routing_keeper.table is not None:
            self.duties.usage_counter.start()
        self.runner.wake()
        self.load_controller.wake()

    def store_view(self) -> StoreView:
        """Return how this VM reaches the store, directly or through a relay."""
        return StoreView(max(0.0, anyio.current_time() - self.store.answered_at_s))

    def direct_store_view(self) -> StoreView:
        """Return how this VM reaches the store directly, without a relay."""
        silence_s = max(0.0, anyio.current_time() - self.direct_store.answered_at_s)
        return StoreView(silence_s, is_failing=self.store.path.is_failing)

    def is_configuration_current(self) -> bool:
        """Return whether the configuration in force is known to be the newest."""
        return is_configuration_current(
            self.routing_keeper.confirmed_age_s(), self.store_view(), self.settings.apply_s
        )

    def configuration_version(self) -> int:
        """Return the version of the store up to which all documents were read; 0 before that."""
        return self.operator_follower.version or 0

    def reaches_store(self) -> bool:
        """Return whether the store has answered this VM directly within the last moments."""
        return not should_ask_peers(self.direct_store_view())

    def peer_state(self) -> PeerState:
        """Return the state that this VM reports to its peers."""
        view = self.direct_store_view()
        return PeerState(self.boot, min(MAX_REPORTED_SILENCE_S, view.silence_s), view.is_failing)

    async def answer_readiness_check(self, request: Request, responder: Responder) -> None:
        """Answer the load balancer's readiness check."""
        readiness = decide_readiness(
            leaving=self.is_leaving,
            configured=self.routing_keeper.table is not None,
            store=self.store_view(),
            peers=self.peer_poller.view,
        )
        if readiness is not self.readiness:
            log.info(
                "readiness",
                now=readiness.value,
                before=self.readiness.value,
                store_silence_s=round(min(MAX_REPORTED_SILENCE_S, self.store_view().silence_s), 2),
                peers_answered=self.peer_poller.view.answered_count,
                peers_reach_store=self.peer_poller.view.reaching_store_count,
            )
            self.readiness = readiness
        await responder.send(Response(200 if readiness.is_ready else 503))

    async def run(self) -> None:
        """Run all components until a signal stops the process."""
        log.info(
            "start", boot=self.boot, zone=self.settings.zone, store=self.settings.store.address
        )
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            await tasks.start(handle_signals, self.request_stop, self.reload_settings)
            for follower in self.table_followers:
                tasks.start_soon(follower.run)
            for component_run in (
                self.connections.idle_watch.run,
                self.replica_keeper.run,
                self.live_queues.run,
                self.crash_history.run,
                self.crash_detector.run,
                self.stream_register.run,
                self.target_paths.run,
                self.presence.run,
                self.duties.run,
                self.runner.run,
                self.load_controller.run,
                self.step_feed.run,
                self.front_server.run,
                self.ready_server.run,
                self.peer_poller.run,
                self.peer_server.run,
                self.metrics_server.run,
                self.settings_watcher.run,
                self.row_garbage_collector.run,
                self.run_housekeeping,
            ):
                tasks.start_soon(component_run)
            await self.stop_requested.wait()
            await self.shut_down()
            tasks.cancel_scope.cancel()
        log.info("stop", boot=self.boot)
        self.output.drain()

    def apply_settings(self, settings: PlatformSettings) -> None:
        """Apply new settings; changed listen addresses take effect only after a restart."""
        self.settings = settings
        self.connections.apply_settings(settings)
        self.direct_store.apply_access(settings.store)
        self.duties.leases.apply_gap(settings.order_gap_s)

    def request_stop(self, signal_number: int) -> None:
        """Begin the stop of the process; a further signal changes nothing about it."""
        log.info("stop asked for", signal=signal_number, again=self.stop_requested.is_set())
        self.stop_requested.set()

    def reload_settings(self) -> None:
        """Read the settings file again, also during a stop, which may last for some seconds."""
        self.settings_watcher.reload("SIGHUP")

    async def shut_down(self) -> None:
        """Hand over steps, serve callers until the load balancer has removed this VM, then stop."""
        self.stop_schedule.begin(anyio.current_time(), self.settings.grace_s)
        self.is_leaving = True
        self.submission_handler.accepting = False
        self.step_feed.accepting = False
        self.runner.leaving = True
        self.front_server.start_draining()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.release_ownership)
            tasks.start_soon(self.duties.leases.release_platform_duties)
            await drain_callers(self.front_server, self.stop_schedule)
            tasks.cancel_scope.cancel()
        self.front_server.stop_accepting()
        if self.duties.usage_counter is not None:
            with anyio.move_on_after(LAST_COUNTS_TIMEOUT_S):
                await self.presence.try_call("presence renewal", self.presence.renew)

    async def release_ownership(self) -> None:
        """Hand over all steps and release the lease on orders; a store failure ends the attempt."""
        try:
            await self.presence.announce_leaving()
            await self.step_transfer.hand_over()
            await self.duties.leases.orders.release()
            await self.presence.announce_stopped()
        except PlatformError as error:
            log.warning("not all handed over", reason=str(error))

    async def run_housekeeping(self) -> None:
        """Write buffered log lines and remove what has expired, until cancelled."""
        while True:
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.output.drain()
            self.crash_history.remove_expired(deletes_rows=self.duties.leases.orders.is_held)
            now_s = anyio.current_time()
            for step in list(self.runner.steps.values()):
                if step.ended and now_s - step.ended_at_s > ENDED_STEP_RETENTION_S:
                    del self.runner.steps[step.step_id]


async def run_entry(settings_path: Path) -> None:
    """Run the process of an entry VM with the settings in the platform's file."""
    settings = load_platform_settings(settings_path)
    metrics = TextMetrics()
    output = bounded_logs(settings.vm, metrics)
    await EntryProcess(settings_path, settings, metrics, output).run()
