"""Authentication and authorization by role and team, and the reload of TLS certificates."""

import hashlib
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path

import anyio
import httpx
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from balsamcleat.adapters.http_server import bind, serve_app
from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.tls import TlsFiles, TlsServer
from balsamcleat.api.access import AccessGuard, area_of, principal_of
from balsamcleat.configuration import Configuration, Deployment, RoleName, Team
from balsamcleat.decisions.access import AccessControl, Area
from balsamcleat.errors import InvalidInputError


def digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def team(*roles: RoleName, tokens: tuple[str, ...] = (), services: tuple[str, ...] = ()) -> Team:
    return Team(roles=roles, token_sha256=tuple(map(digest, tokens)), services=services)


CONFIGURATION = Configuration(
    teams={
        "desk": team(RoleName.CALLER, tokens=("c1", "c2"), services=("checks",)),
        "trainers": team(RoleName.TRAINER, tokens=("t1",)),
        "others": team(RoleName.TRAINER, tokens=("t2",)),
        "operators": team(RoleName.OPERATOR, tokens=("o1",)),
        "auditors": team(RoleName.VIEWER, tokens=("v1",)),
    },
    deployments={"drafts": Deployment(service="pool", team="trainers")},
)


def new_access_control(configuration: Configuration = CONFIGURATION) -> AccessControl:
    access_control = AccessControl(allow_anonymous=False, bootstrap_token_sha256=digest("first"))
    access_control.configure(configuration)
    return access_control


@pytest.mark.parametrize(
    ("token", "areas"),
    [
        ("c1", {Area.CALLS, Area.HEALTH}),
        ("c2", {Area.CALLS, Area.HEALTH}),
        ("t1", {Area.ROLLOUTS, Area.HEALTH}),
        ("o1", {Area.READ, Area.OPERATE, Area.HEALTH}),
        ("v1", {Area.READ, Area.HEALTH}),
    ],
)
def test_each_role_can_access_only_its_areas(token: str, areas: set[Area]) -> None:
    principal = new_access_control().authenticate(f"Bearer {token}")
    assert principal is not None
    assert {area for area in Area if principal.can_access(area)} == areas


@pytest.mark.parametrize("header", [None, "", "Bearer", "Bearer ", "Bearer wrong", "Basic c1"])
def test_unknown_or_missing_token_is_not_authenticated(header: str | None) -> None:
    assert new_access_control().authenticate(header) is None


def test_bootstrap_token_is_rejected_once_an_operator_is_configured() -> None:
    assert new_access_control().authenticate("Bearer first") is None
    principal = new_access_control(Configuration()).authenticate("Bearer first")
    assert principal is not None and principal.can_access(Area.OPERATE)
    assert not principal.can_access(Area.CALLS)


def test_trainer_is_limited_to_its_deployments_and_caller_to_its_services() -> None:
    trainer, other_trainer = (
        new_access_control().authenticate("Bearer t1"),
        new_access_control().authenticate("Bearer t2"),
    )
    assert trainer is not None and trainer.can_train("drafts")
    assert other_trainer is not None and not other_trainer.can_train("drafts")
    caller = new_access_control().authenticate("Bearer c1")
    assert caller is not None and caller.can_call("checks") and not caller.can_call("pool")


@pytest.mark.parametrize(
    ("method", "path", "area"),
    [
        ("POST", "/v1/completions", Area.CALLS),
        ("GET", "/v1/services/checks/x", Area.CALLS),
        ("GET", "/v1/deployments/d/steps/s/batches", Area.ROLLOUTS),
        ("GET", "/v1/configuration", Area.READ),
        ("PATCH", "/v1/configuration", Area.OPERATE),
        ("POST", "/v1/drain", Area.OPERATE),
        ("POST", "/whatever", Area.OPERATE),
    ],
)
def test_area_of_each_path(method: str, path: str, area: Area) -> None:
    assert area_of(method, path) is area


class FixedKeeper:
    """A stub of the configuration keeper that always returns the same configuration."""

    class Current:
        version = 1
        body = CONFIGURATION

    current = Current()


@pytest.mark.anyio
async def test_rejections_are_problem_documents_with_outcome_not_run() -> None:
    async def show_team(request: Request) -> Response:
        return PlainTextResponse(principal_of(request).team)

    routes = [Route("/v1/completions", show_team, methods=["POST"])]
    guard = AccessGuard(
        Starlette(routes=routes), new_access_control(), FixedKeeper(), MemoryMetrics()
    )  # type: ignore[arg-type]
    transport = httpx.ASGITransport(guard)
    async with httpx.AsyncClient(transport=transport, base_url="http://node") as client:
        for token, status in (("wrong", 401), ("o1", 403)):
            headers = {"authorization": f"Bearer {token}"}
            response = await client.post("/v1/completions", headers=headers)
            assert response.status_code == status
            assert response.headers["content-type"] == "application/problem+json"
            assert response.json()["outcome"] == "not run"
        response = await client.post("/v1/completions", headers={"authorization": "Bearer c1"})
        assert response.text == "desk"


def write_certificate(files: TlsFiles, name: str) -> None:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files.key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


@asynccontextmanager
async def serving(tls: TlsServer):  # type: ignore[no-untyped-def]
    async def hello(request: Request) -> Response:
        return PlainTextResponse("hello")

    listener = bind("127.0.0.1", 0)
    port = listener.getsockname()[1]
    app = Starlette(routes=[Route("/", hello)])
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(serve_app, app, listener, stop, 1.0, tls)
        yield port
        stop.set()


async def peer_name(port: int) -> str:
    import ssl

    context = ssl._create_unverified_context()
    stream = await anyio.connect_tcp("127.0.0.1", port, ssl_context=context)
    async with stream:
        data = stream.extra(anyio.streams.tls.TLSAttribute.peer_certificate_binary)
    certificate = x509.load_der_x509_certificate(data)
    return str(certificate.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)[0].value)


def test_certificate_reload_needs_no_restart_and_rejects_a_broken_key(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        files = TlsFiles(tmp_path / "cert.pem", tmp_path / "key.pem")
        write_certificate(files, "one")
        tls = TlsServer(files)
        async with serving(tls) as port:
            assert await peer_name(port) == "one"
            write_certificate(files, "two")
            assert tls.reload()
            assert await peer_name(port) == "two"
            files.key.write_text("broken")
            with pytest.raises(InvalidInputError):
                tls.reload()
            assert await peer_name(port) == "two"

    anyio.run(run)
