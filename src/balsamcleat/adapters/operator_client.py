"""Operator's client of a VM over HTTP."""

import ssl
import uuid
from dataclasses import dataclass
from types import TracebackType
from typing import TypeVar

import httpx
import msgspec

from balsamcleat.adapters.http_client import ENCODING_ERRORS
from balsamcleat.api.operator_messages import ConfigurationMessage, PatchReply
from balsamcleat.api.problems import Problem
from balsamcleat.decoding import decode_json
from balsamcleat.errors import (
    InvalidInputError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    RefusedError,
)
from balsamcleat.model.audit import AuditRow
from balsamcleat.queries.history import AuditFilter, DiffLine, HistoryLine
from balsamcleat.queries.status import NodeStatus

__all__ = ["OperatorClient", "PatchSubmission"]

TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0

Message = TypeVar("Message")


@dataclass(frozen=True, slots=True)
class PatchSubmission:
    """A patch to submit.

    Attributes:
        base_version: Version of the configuration that the patch applies to.
        patch: JSON Patch (RFC 6902), encoded.
        author: Author that the audit trail names.
        reason: Reason that the audit trail names.
        force: Whether the author acknowledges the dangers of the patch.
        dry_run: Whether the patch is checked and not written.
        operation_id: Id of the submission; a retry with the same id is safe.
    """

    base_version: int
    patch: bytes
    author: str
    reason: str
    force: bool = False
    dry_run: bool = False
    operation_id: str = ""


class OperatorClient:
    """Sends an operator's requests to one VM.

    Args:
        url: Base URL of the VM.
        token: Bearer token of the operator, or empty if none is required.
        ca_file: Certificate authority of the VM's certificate, or empty for the system's own.
    """

    def __init__(self, url: str, token: str = "", ca_file: str = "") -> None:
        self.url = url.rstrip("/")
        headers = {"authorization": f"Bearer {token}"} if token else {}
        verify: ssl.SSLContext | bool = True
        if ca_file:
            verify = ssl.create_default_context(cafile=ca_file)
        self.client = httpx.Client(
            headers=headers,
            verify=verify,
            timeout=httpx.Timeout(TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
        )

    def __enter__(self) -> "OperatorClient":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.client.close()

    def status(self) -> NodeStatus:
        """Return the status of the VM."""
        return self.read("status.read", "/v1/status", NodeStatus)

    def configuration(self, version: int | None = None) -> ConfigurationMessage:
        """Return a numbered configuration, or the one in force on the VM."""
        path = "/v1/configuration" + ("" if version is None else f"/{version}")
        return self.read("configuration.read", path, ConfigurationMessage)

    def history(self, after: int = 0) -> tuple[HistoryLine, ...]:
        """Return the accepted configurations after version ``after``, oldest first."""
        path = f"/v1/configuration/history?after={after}"
        return self.read("history.read", path, tuple[HistoryLine, ...])

    def diff(self, old: int, new: int) -> tuple[DiffLine, ...]:
        """Return the entries that differ between two configurations."""
        path = f"/v1/configuration/diff?from={old}&to={new}"
        return self.read("configuration.diff", path, tuple[DiffLine, ...])

    def audit(self, audit_filter: AuditFilter) -> tuple[AuditRow, ...]:
        """Return the audit rows that match a filter, oldest first."""
        query = str(httpx.QueryParams(msgspec.to_builtins(audit_filter)))
        return self.read("audit.read", f"/v1/audit?{query}", tuple[AuditRow, ...])

    def patch(self, order: PatchSubmission) -> PatchReply:
        """Submit a patch and return the version that it made."""
        return self.submit("PATCH", "/v1/configuration", order)

    def roll_back(self, version: int, order: PatchSubmission) -> PatchReply:
        """Restore the contents of an earlier version; the patch of the submission is not used."""
        return self.submit("POST", f"/v1/configuration/rollback?to={version}", order)

    def submit(self, method: str, path: str, order: PatchSubmission) -> PatchReply:
        """Send a change with its base version, author, reason and options."""
        headers = {
            "content-type": "application/json-patch+json",
            "if-match": f'"{order.base_version}"',
            "x-author": order.author,
            "x-reason": order.reason,
            "x-operation-id": order.operation_id or uuid.uuid4().hex,
            "x-force": "true" if order.force else "false",
            "x-dry-run": "true" if order.dry_run else "false",
        }
        response = self.send("configuration.patch", method, path, order.patch, headers)
        return decode_response(response, PatchReply, "configuration.patch", self.url)

    def drain(self, author: str, reason: str) -> None:
        """Begin a graceful shutdown of the VM; the audit trail names the author and the reason."""
        headers = {"x-author": author, "x-reason": reason}
        self.send("node.drain", "POST", "/v1/drain", b"", headers)

    def read(self, step: str, path: str, message: type[Message]) -> Message:
        """Send a GET request and return its decoded response."""
        return decode_response(self.send(step, "GET", path, b"", {}), message, step, self.url)

    def send(
        self, step: str, method: str, path: str, content: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        """Send a request; classify a failure by what the operator can do next."""
        try:
            response = self.client.request(
                method, self.url + path, content=content or None, headers=headers
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.UnsupportedProtocol,
            *ENCODING_ERRORS,
        ) as error:
            raise PlatformUnavailableError(
                f"no node answers at {self.url}: {error}; name another with --url", step=step
            ) from error
        except httpx.HTTPError as error:
            if method == "GET":
                raise PlatformUnavailableError(
                    f"the node did not answer: {error or type(error).__name__}",
                    step=step,
                    peer=self.url,
                ) from error
            raise OutcomeUnknownError(
                "the answer was lost: look with `balsamcleat config history`, or send it again "
                "under the same --operation-id",
                step=step,
                peer=self.url,
            ) from error
        if response.status_code >= 400:
            raise operator_error(response, step, self.url)
        return response


def decode_response(
    response: httpx.Response, message: type[Message], step: str, url: str
) -> Message:
    """Return the message in a response."""
    try:
        return decode_json(response.content, message)
    except msgspec.DecodeError as error:
        raise InvalidInputError(
            f"the node's answer is not understood, is it another version? {error}",
            step=step,
            peer=url,
        ) from error


def operator_error(response: httpx.Response, step: str, url: str) -> Exception:
    """Return the error for the operator that an error response stands for."""
    status = response.status_code
    try:
        problem = decode_json(response.content, Problem)
        lines = [f"{problem.title}: {problem.detail}" if problem.detail else problem.title]
        text = "\n  ".join([*lines, *(fault.removeprefix(": ") for fault in problem.faults)])
    except msgspec.DecodeError:
        text = f"answered {status}"
    if status in (400, 404, 415, 422, 428):
        return InvalidInputError(text, step=step, peer=url)
    if status in (401, 403, 409, 412):
        return RefusedError(text, step=step, peer=url)
    if status == 502:
        return OutcomeUnknownError(text, step=step, peer=url)
    return PlatformUnavailableError(text, step=step, peer=url)
