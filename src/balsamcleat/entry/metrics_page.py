"""Page of the counters, gauges and latencies of an entry VM's process."""

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.entry.duty_parts import DutyParts
from balsamcleat.http1 import (
    ByteBudget,
    ConnectionPool,
    HttpServer,
    Request,
    Responder,
    Response,
)
from balsamcleat.log_output import BoundedOutput
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.version_orders import VersionLoadController

__all__ = ["MetricsPage"]

# deploy/system.toml names this path as the place to fetch metrics from.
METRICS_PATH = "/metrics"
HEADERS = (("Content-Type", "text/plain; version=0.0.4"),)


class MetricsPage:
    """Answers scrapes with the metrics as text; gauges are read at each scrape.

    Args:
        metrics: Registry of the process's metrics.
        runner: Runs the steps that this VM owns.
        load_controller: Orders loads of weights.
        duties: Duties that one VM performs at a time.
        front_server: Server of callers.
        target_pool: Connections to targets.
        byte_budget: Budget of the bytes of bodies.
        limits: Limits that targets name.
        output: Buffered output of log lines.
    """

    def __init__(
        self,
        metrics: TextMetrics,
        runner: RolloutRunner,
        load_controller: VersionLoadController,
        duties: DutyParts,
        front_server: HttpServer,
        target_pool: ConnectionPool,
        byte_budget: ByteBudget,
        limits: TargetLimits,
        output: BoundedOutput,
    ) -> None:
        self.metrics = metrics
        self.runner = runner
        self.load_controller = load_controller
        self.duties = duties
        self.front_server = front_server
        self.target_pool = target_pool
        self.byte_budget = byte_budget
        self.limits = limits
        self.output = output

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a scrape with counters, gauges and latencies as text."""
        if request.path != METRICS_PATH:
            await responder.send(Response(404))
            return
        self.report_steps()
        self.report_connections()
        self.duties.report_gauges(self.metrics)
        self.metrics.gauge("log.bytes_waiting", self.output.waiting_bytes)
        await responder.send(Response(200, HEADERS, self.metrics.render()))

    def report_steps(self) -> None:
        """Set the gauges of steps, samples and engines."""
        steps = self.runner.steps.values()
        late_count = sum(bool(step.group_positions) and not step.ended for step in steps)
        self.metrics.gauge("steps.owned", len(steps))
        self.metrics.gauge("steps.expected_late", late_count)
        self.metrics.gauge("samples.running", sum(len(step.running) for step in steps))
        is_planning = self.duties.leases.orders.is_held
        for service, division in self.load_controller.divisions.items():
            for model, engines in division.items():
                self.metrics.gauge(
                    f"engines.planned.{service}.{model}", engines if is_planning else 0
                )

    def report_connections(self) -> None:
        """Set the gauges of requests, connections, bodies and limits."""
        budget = self.byte_budget
        self.metrics.gauge("requests.active", self.front_server.active_requests)
        self.metrics.gauge("connections.callers", len(self.front_server.connections))
        self.metrics.gauge("connections.opened", self.target_pool.opened_connections)
        self.metrics.gauge("answers.foreign", self.target_pool.mismatched_responses)
        self.metrics.gauge("bytes.held", budget.held_bytes)
        self.metrics.gauge("bytes.limit", budget.limit_bytes or 0)
        self.metrics.gauge("bytes.bodies_refused", budget.refused_bodies)
        self.metrics.gauge("bytes.clients_cut_off", budget.cut_off_connections)
        self.metrics.gauge("limits.targets", self.limits.limited_count)
