"""The operators' commands: configuration, status, audit, drain and debug."""

import getpass
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from balsamcleat.adapters.operator_client import OperatorClient, PatchSubmission
from balsamcleat.api.operator_messages import PatchReply
from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError
from balsamcleat.printing import layout, wall_time
from balsamcleat.queries.history import AuditFilter, DiffLine

__all__ = ["audit", "config", "debug", "drain", "status"]

DEFAULT_URL = "http://127.0.0.1:8080"
MAX_PATCH_CHARACTERS = 70


@Parameter(name="*")
@dataclass(frozen=True)
class NodeOptions:
    """Which node to ask, and as whom.

    Attributes:
        url: The node's base URL.
        token: Your bearer token; better given by its environment variable than typed.
        ca_file: Certificate authority of the node's certificate; the system's own by default.
        as_json: Print JSON for scripts.
    """

    url: Annotated[str, Parameter(env_var="BALSAMCLEAT_URL")] = DEFAULT_URL
    token: Annotated[str, Parameter(env_var="BALSAMCLEAT_TOKEN", show_default=False)] = ""
    ca_file: Annotated[str, Parameter(env_var="BALSAMCLEAT_CA_FILE", show_default=False)] = ""
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False

    def client(self) -> OperatorClient:
        """Return a client of the node."""
        return OperatorClient(self.url, self.token, self.ca_file)


NODE = NodeOptions()

config = App(
    name="config",
    help="""Read and change the numbered configuration.

    A patch names the number it is against and either becomes the next number or is refused:

        balsamcleat config show
        balsamcleat config patch --base 7 --reason "quieter" --set /limits/max_in_flight=500
        balsamcleat config diff 7 8
    """,
    help_format="plaintext",
)


def show_json(message: object) -> None:
    """Print a message as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(message), indent=2).decode())


@config.command
def show(version: int | None = None, *, node: NodeOptions = NODE) -> None:
    """Show the configuration in force, or an older one by its number.

    Args:
        version: The number; the one in force at the node by default.
        node: Which node to ask, and as whom.
    """
    with node.client() as client:
        record = client.configuration(version)
    if not node.as_json:
        author, at = record.author or "-", wall_time(record.at_s)
        print(f"configuration {record.version}, by {author} at {at}: {record.reason or '-'}")
    show_json(record if node.as_json else record.body)


@config.command
def patch(
    file: Path | None = None,
    *,
    base: int,
    reason: str,
    sets: Annotated[tuple[str, ...], Parameter(name="--set", negative="")] = (),
    remove: Annotated[tuple[str, ...], Parameter(negative="")] = (),
    author: Annotated[str, Parameter(env_var="BALSAMCLEAT_AUTHOR")] = "",
    force: Annotated[bool, Parameter(negative="")] = False,
    dry_run: Annotated[bool, Parameter(negative="")] = False,
    operation_id: str = "",
    node: NodeOptions = NODE,
) -> None:
    """Submit a patch: it becomes the next number or is refused.

    The patch is a JSON Patch (RFC 6902) in a file, on standard input as -, or put together from
    --set and --remove:

        balsamcleat config patch --base 3 --reason repair --set /targets/e-7/draining=true
        balsamcleat config patch --base 3 --reason "new zone" zone.json

    Exits 2 if it is not valid (every fault is listed), 3 if another number is in force or you
    may not, 4 if nobody could be asked, 5 if the answer was lost: then send it again with the
    same --operation-id.

    Args:
        file: The JSON Patch file, or - for standard input.
        base: The number that the patch is against, from `config show`.
        reason: Why; goes into the history and the audit trail.
        sets: PATH=VALUE to add or replace; VALUE is JSON, or else taken as a string.
        remove: PATH to remove.
        author: Who; your user name by default. A node with tokens takes the token's team.
        force: Take it although it is dangerous; the refusal says why it is.
        dry_run: Only check it; nothing is written.
        operation_id: Names the submission, so that sending it again is safe.
        node: Which node to ask, and as whom.
    """
    order = PatchSubmission(
        base_version=base,
        patch=patch_document(file, sets, remove),
        author=author or getpass.getuser(),
        reason=reason,
        force=force,
        dry_run=dry_run,
        operation_id=operation_id,
    )
    with node.client() as client:
        show_reply(client.patch(order), node)


def show_reply(reply: PatchReply, node: NodeOptions) -> None:
    """Print what became of a change."""
    if node.as_json:
        show_json(reply)
    elif reply.dry_run:
        print(f"valid: it would become configuration {reply.version}; nothing was written")
    else:
        again = " (by an earlier submission of the same operation)" if reply.repeated else ""
        print(f"accepted: configuration {reply.version}{again}")


@config.command
def rollback(
    to: int,
    *,
    base: int,
    reason: str,
    author: Annotated[str, Parameter(env_var="BALSAMCLEAT_AUTHOR")] = "",
    force: Annotated[bool, Parameter(negative="")] = False,
    dry_run: Annotated[bool, Parameter(negative="")] = False,
    operation_id: str = "",
    node: NodeOptions = NODE,
) -> None:
    """Make an earlier number's contents the next number; numbers themselves never go back.

    Args:
        to: The earlier number.
        base: The number in force that you have read, from `config show`.
        reason: Why; goes into the history and the audit trail.
        author: Who; your user name by default.
        force: Take it although it is dangerous.
        dry_run: Only check it; nothing is written.
        operation_id: Names the submission, so that sending it again is safe.
        node: Which node to ask, and as whom.
    """
    who = author or getpass.getuser()
    order = PatchSubmission(base, b"[]", who, reason, force, dry_run, operation_id)
    with node.client() as client:
        show_reply(client.roll_back(to, order), node)


def patch_document(file: Path | None, sets: tuple[str, ...], remove: tuple[str, ...]) -> bytes:
    """Return the JSON Patch that the arguments give.

    Raises:
        InvalidInputError: There is none, or one in a file and one in arguments.
    """
    step = "patch.read"
    if (file is None) == (not sets and not remove):
        raise InvalidInputError("give either a file or --set and --remove", step=step)
    if file is not None:
        try:
            return sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
        except OSError as error:
            raise InvalidInputError(f"can't read {file}: {error.strerror}", step=step) from error
    operations: list[dict[str, object]] = []
    for item in sets:
        path, separator, text = item.partition("=")
        if not separator or not path.startswith("/"):
            raise InvalidInputError(f"--set {item}: /PATH=VALUE is expected", step=step)
        operations.append({"op": "add", "path": path, "value": value_of(text)})
    operations += [{"op": "remove", "path": path} for path in remove]
    return msgspec.json.encode(operations)


def value_of(text: str) -> object:
    """Return JSON text as its value, other text as a string."""
    try:
        return decode_json(text)
    except msgspec.DecodeError:
        return text


@config.command
def history(*, after: int = 0, node: NodeOptions = NODE) -> None:
    """List the accepted configurations: which number, when, who, why and what.

    Args:
        after: Only those above this number.
        node: Which node to ask, and as whom.
    """
    with node.client() as client:
        lines = client.history(after)
    if node.as_json:
        show_json(lines)
        return
    rows = [
        (line.version, wall_time(line.at_s), line.author, line.reason, shorten(line.patch))
        for line in lines
    ]
    print(layout(("number", "at (UTC)", "author", "reason", "patch"), rows))


def shorten(text: str) -> str:
    """Return text that fits in a column."""
    return text if len(text) <= MAX_PATCH_CHARACTERS else text[: MAX_PATCH_CHARACTERS - 3] + "..."


@config.command
def diff(old: int, new: int | None = None, *, node: NodeOptions = NODE) -> None:
    """Show what changed between two numbers.

    Args:
        old: The older number.
        new: The newer number; the one in force by default.
        node: Which node to ask, and as whom.
    """
    with node.client() as client:
        if new is None:
            new = client.configuration().version
        lines = client.diff(old, new)
    if node.as_json:
        show_json(lines)
        return
    print(f"from configuration {old} to {new}")
    print(layout(("path", "before", "after"), [diff_cells(line) for line in lines]))


def diff_cells(line: DiffLine) -> tuple[str, str, str]:
    """Return a difference as cells; a dash stands for an entry that is not there."""
    return line.path, line.before or "-", line.after or "-"


def status(*, node: NodeOptions = NODE) -> None:
    """Show what a node believes: its configuration, its peers, its targets, its counters."""
    with node.client() as client:
        state = client.status()
    if node.as_json:
        show_json(state)
        return
    leaving = ", leaving" if state.leaving else ""
    print(f"{state.vm_id} in {state.zone}{leaving}, configuration {state.configuration}\n")
    peers = [
        (peer.vm_id, peer.zone, peer.status, peer.configuration or "-") for peer in state.peers
    ]
    print(layout(("peer", "zone", "status", "configuration"), peers), "\n")
    targets = [
        (target.target_id, target.service, target.zone, target.phase, target.in_flight)
        for target in state.targets
    ]
    print(layout(("target", "service", "zone", "phase", "in flight"), targets), "\n")
    print(layout(("counter", "count"), list(state.counters.items())))


def audit(
    *,
    author: str = "",
    action: str = "",
    subject: str = "",
    result: str = "",
    limit: int = 200,
    node: NodeOptions = NODE,
) -> None:
    """Show the audit trail: who did what, when, why, and how it ended, refusals included.

    Args:
        author: Only by this author.
        action: Only actions that begin with this, such as configuration.
        subject: Only what was done to this, such as a target's id.
        result: Only results that contain this, such as refused.
        limit: The most lines; the newest are shown.
        node: Which node to ask, and as whom.
    """
    wanted = AuditFilter(author=author, action=action, subject=subject, result=result, limit=limit)
    with node.client() as client:
        rows = client.audit(wanted)
    if node.as_json:
        show_json(rows)
        return
    cells = [
        (wall_time(row.at_s), row.author, row.action, row.result, row.version or "-", row.reason)
        for row in rows
    ]
    print(layout(("at (UTC)", "author", "action", "result", "number", "reason"), cells))


def drain(
    *,
    target: str = "",
    reason: str = "drained by an operator",
    force: Annotated[bool, Parameter(negative="")] = False,
    node: NodeOptions = NODE,
) -> None:
    """Take a node out of service gracefully, or a target by its id.

    A node stops advertising itself, finishes what it has accepted and ends by itself. A target
    is marked as draining by a patch against the number in force; it keeps what it runs and gets
    no new work after a few seconds. Undo that with
    `balsamcleat config patch --set /targets/ID/draining=false`.

    Args:
        target: A target's id; without it the node at --url is drained.
        reason: Why; goes into the audit trail, and for a target into the history.
        force: Drain it although it is dangerous, such as the last target of its service.
        node: Which node to ask, and as whom.
    """
    with node.client() as client:
        if not target:
            client.drain(getpass.getuser(), reason)
            print(f"{node.url} drains; it ends by itself when its last request is answered")
            return
        current = client.configuration()
        if target not in current.body.targets:
            known = ", ".join(current.body.targets) or "none"
            raise InvalidInputError(
                f"there is no target {target!r}; there are {known}", step="drain"
            )
        name = target.replace("~", "~0").replace("/", "~1")
        document = patch_document(None, (f"/targets/{name}/draining=true",), ())
        order = PatchSubmission(current.version, document, getpass.getuser(), reason, force)
        reply = client.patch(order)
    print(f"{target} drains by configuration {reply.version}")


def debug(*, node: NodeOptions = NODE) -> None:
    """Show what is needed to report a fault: versions here, and all that the node believes."""
    from balsamcleat.diagnosis import local_diagnosis

    show_json(local_diagnosis())
    with node.client() as client:
        show_json(client.status())
