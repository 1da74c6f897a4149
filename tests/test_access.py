"""Callers, trainers and operators are told apart, and teams from each other."""

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


def access(configuration: Configuration = CONFIGURATION) -> AccessControl:
    made = AccessControl(allow_anonymous=False, bootstrap_token_sha256=digest("first"))
    made.configure(configuration)
    return made


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
def test_each_role_opens_its_own_areas(token: str, areas: set[Area]) -> None:
    principal = access().authenticate(f"Bearer {token}")
    assert principal is not None
    assert {area for area in Area if principal.can_access(area)} == areas


@pytest.mark.parametrize("header", [None, "", "Bearer", "Bearer ", "Bearer wrong", "Basic c1"])
def test_nobody_comes_in_without_a_known_token(header: str | None) -> None:
    assert access().authenticate(header) is None


def test_the_bootstrap_token_closes_once_there_is_an_operator() -> None:
    assert access().authenticate("Bearer first") is None
    first = access(Configuration()).authenticate("Bearer first")
    assert first is not None and first.can_access(Area.OPERATE)
    assert not first.can_access(Area.CALLS)


def test_a_trainer_is_kept_to_its_deployments_and_a_caller_to_its_services() -> None:
    own, other = access().authenticate("Bearer t1"), access().authenticate("Bearer t2")
    assert own is not None and own.can_train("drafts")
    assert other is not None and not other.can_train("drafts")
    desk = access().authenticate("Bearer c1")
    assert desk is not None and desk.can_call("checks") and not desk.can_call("pool")


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
def test_every_path_belongs_to_an_area(method: str, path: str, area: Area) -> None:
    assert area_of(method, path) is area


class FixedKeeper:
    """The configuration in force, as the guard reads it."""

    class Current:
        version = 1
        body = CONFIGURATION

    current = Current()


@pytest.mark.anyio
async def test_refusals_are_problem_documents_that_say_not_run() -> None:
    async def who(request: Request) -> Response:
        return PlainTextResponse(principal_of(request).team)

    routes = [Route("/v1/completions", who, methods=["POST"])]
    guard = AccessGuard(Starlette(routes=routes), access(), FixedKeeper(), MemoryMetrics())  # type: ignore[arg-type]
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

    bound = bind("127.0.0.1", 0)
    port = bound.getsockname()[1]
    app = Starlette(routes=[Route("/", hello)])
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(serve_app, app, bound, stop, 1.0, tls)
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


def test_a_certificate_changes_without_a_restart_and_a_broken_one_is_refused(
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
