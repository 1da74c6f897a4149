"""Builds the HTTP interface of a node."""

from pathlib import Path

import anyio
import anyio.abc
from starlette.applications import Starlette

from balsamcleat.adapters.tls import TlsFiles, TlsServer
from balsamcleat.api.access import AccessGuard
from balsamcleat.api.callers import CallerApi
from balsamcleat.api.health import HealthApi
from balsamcleat.api.operators import OperatorApi
from balsamcleat.api.request_guard import RequestGuard, problem_handlers
from balsamcleat.api.trainers import TrainerApi
from balsamcleat.commands.submit_patch import SubmitPatch
from balsamcleat.composition.base import NodeFoundation
from balsamcleat.composition.live import LiveParts
from balsamcleat.composition.peers import PeerParts
from balsamcleat.decisions.access import AccessControl
from balsamcleat.decisions.drain import Drain, DrainTimes
from balsamcleat.queries.history import HistoryQuery
from balsamcleat.queries.status import StatusQuery
from balsamcleat.settings import Settings
from balsamcleat.tasks.graceful_shutdown import DrainMiddleware
from balsamcleat.tasks.rollouts import Rollouts

__all__ = ["compose_http_api", "make_tls"]


def compose_http_api(
    base: NodeFoundation, peers: PeerParts, live: LiveParts, rollouts: Rollouts, drain: anyio.Event
) -> DrainMiddleware:
    """Build the HTTP interface with its limits, its access control and its draining."""
    settings, metrics, platform = base.settings, base.metrics, base.platform
    callers = CallerApi(peers.keeper, live.run_once, live.generate, base.clock, base.randomness)
    operators = OperatorApi(
        peers.keeper,
        SubmitPatch(platform.table, peers.keeper, base.clock, metrics, platform.audit),
        HistoryQuery(platform.table, platform.objects),
        StatusQuery(peers.link, live.watch, metrics),
        drain,
        base.randomness,
        platform.audit,
    )
    access = AccessControl(
        allow_anonymous=settings.security.allow_anonymous,
        bootstrap_token_sha256=settings.security.bootstrap_token_sha256,
    )
    routes = [*callers.routes(), *TrainerApi(rollouts).routes(), *operators.routes()]
    routes += HealthApi(lambda: peers.link.is_leaving).routes()
    app = Starlette(routes=routes, exception_handlers=problem_handlers())
    guarded = RequestGuard(AccessGuard(app, access, peers.keeper, metrics), metrics, drain)
    times = DrainTimes(settings.advertise_grace_s, settings.drain_timeout_s)
    return DrainMiddleware(guarded, Drain(times), base.clock)


def make_tls(settings: Settings) -> TlsServer | None:
    """Return the TLS context of the HTTP interface, or None for plain HTTP."""
    security = settings.security
    if security.tls_certificate_file is None or security.tls_key_file is None:
        return None
    client_ca = security.tls_client_ca_file
    return TlsServer(
        TlsFiles(
            Path(security.tls_certificate_file),
            Path(security.tls_key_file),
            None if client_ca is None else Path(client_ca),
        )
    )
