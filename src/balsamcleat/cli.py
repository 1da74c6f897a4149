"""The command line: parses arguments and hands over."""

import sys
from pathlib import Path
from typing import Annotated, Literal

import anyio
from cyclopts import App, CycloptsError, Parameter

from balsamcleat import __version__
from balsamcleat.errors import (
    BalsamcleatError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformError,
    RefusedError,
)
from balsamcleat.signal_mask import hold_signals

__all__ = ["EXIT_CODES", "app", "main"]

EXIT_BROKEN = 1
EXIT_INVALID = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
EXIT_INTERRUPTED = 130

EXIT_CODES = """Exit codes:

  0  done
  1  a promise was broken, or something else failed
  2  wrong arguments, or a file or patch that is not valid; nothing was changed
  3  refused: another number is in force, or you may not; nothing was changed
  4  no node or platform could be asked; nothing was changed, try again
  5  the outcome is unknown; look it up before you send it again
"""

HELP = """A rollout service: callers, trainers and operators before shared model engines.

Try it on this machine first; it needs nothing else:

    balsamcleat demo

Then run one for real: write the settings, check them, start the node, ask it.

    balsamcleat check settings.json
    balsamcleat serve --settings settings.json
    balsamcleat status --url http://10.0.0.1:8080

Change the configuration by a patch against the number that you have read.

    balsamcleat config show
    balsamcleat config patch --base 7 --reason "more room" --set /limits/max_in_flight=4000
    balsamcleat config history

The node to ask is named by --url or BALSAMCLEAT_URL, your token by BALSAMCLEAT_TOKEN.
"""

app = App(
    name="balsamcleat",
    version=__version__,
    help=HELP,
    help_format="plaintext",
    help_epilogue=EXIT_CODES,
    result_action="return_value",
)
app.register_install_completion_command()

# Named by their modules, so that a command loads no other command's libraries.
app.command(
    "balsamcleat.cli_operators:config",
    name="config",
    help="Show, patch and compare the numbered configuration.",
)
app.command("balsamcleat.cli_operators:status", name="status", help="Show what a node believes.")
app.command(
    "balsamcleat.cli_operators:audit",
    name="audit",
    help="Show who changed what, when, why, and what was refused.",
)
app.command(
    "balsamcleat.cli_operators:drain",
    name="drain",
    help="Take a node, or a target by its id, out of service gracefully.",
)
app.command(
    "balsamcleat.cli_operators:debug",
    name="debug",
    help="Show what is needed to report a fault.",
)
app.command(
    "balsamcleat.cli_standins:stand_in",
    name="stand-in",
    help="Run one small stand-in of what the system talks to.",
)
app.command(
    "balsamcleat.bench.app:bench",
    name="bench",
    help="Run experiments: load, policies and their baselines.",
)


@app.command
def serve(*, settings: Path) -> None:
    """Run one entry VM's process until it is drained.

    SIGTERM and SIGINT drain it, as `balsamcleat drain` does: it leaves its peers, finishes what
    it has accepted and ends by itself.

    Args:
        settings: The JSON settings file; `balsamcleat check FILE` finds every fault in it.
    """
    hold_signals()

    from balsamcleat.serving import serve_node
    from balsamcleat.settings import load_settings

    anyio.run(serve_node, load_settings(settings))


@app.command
def entry(settings: Path) -> None:
    """Run an entry VM's process on the operators' platform until SIGTERM.

    Args:
        settings: The settings file that the platform wrote; `balsamcleat check FILE` checks it.
    """
    hold_signals()

    from balsamcleat.entry.process import run_entry

    anyio.run(run_entry, settings)


@app.command
def explain(wanted: str, *files: Path) -> None:
    """Tell the life of one request, sample or step from the logs of one or more entry VMs.

    Exits 1 if no line names it.

    Args:
        wanted: Its id: a caller's attempt, a step, a sample, or a target.
        files: Files with log lines, in any order; what stands before a line's JSON is passed over.
    """
    from balsamcleat.explaining import explain as find
    from balsamcleat.explaining import read_lines

    lines = find(wanted, read_lines(files))
    if not lines:
        print(f"no line names {wanted}", file=sys.stderr)
        sys.exit(EXIT_BROKEN)
    for line in lines:
        print(line.text(lines[0].at_s))


@app.command
def check(
    file: Path, *, kind: Literal["auto", "settings", "configuration", "platform"] = "auto"
) -> None:
    """Check a settings or configuration file; says every fault and exits 2 if there is one.

    Args:
        file: The JSON file.
        kind: What it holds; by default told by its fields.
    """
    from balsamcleat.checking import check_file

    faults = check_file(file, kind)
    for fault in faults:
        print(f"{file}: {fault}", file=sys.stderr)
    if faults:
        sys.exit(EXIT_INVALID)
    print(f"{file}: no fault found")


@app.command
def demo(
    *,
    deployment: Literal["liedtafel", "redaktionsen"] = "liedtafel",
    short: bool = False,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> None:
    """Run a whole small system on loopback, put it through failures and check every promise.

    Takes well under a minute. Exits 1 if a promise was broken or never checked.

    Args:
        deployment: Whose availability zones, services and replica counts to use.
        short: Fewer samples and shorter waits.
        as_json: Print the report as JSON; what happens meanwhile goes to standard error.
    """
    from balsamcleat.demo import FULL_PACE, SHAPES, SHORT_PACE, run_demo
    from balsamcleat.logs import quiet_logs

    quiet_logs()
    out = sys.stderr if as_json else sys.stdout

    def progress(line: str) -> None:
        print(line, file=out, flush=True)

    report = anyio.run(run_demo, SHAPES[deployment], progress, SHORT_PACE if short else FULL_PACE)
    print(report.json() if as_json else f"\n{report.text()}")
    if not report.kept():
        sys.exit(EXIT_BROKEN)


def exit_code(error: BalsamcleatError) -> int:
    """Return the exit code that tells a script what it can do about an error."""
    match error:
        case InvalidInputError():
            return EXIT_INVALID
        case RefusedError():
            return EXIT_REFUSED
        case OutcomeUnknownError():
            return EXIT_UNKNOWN
        case PlatformError():
            return EXIT_UNAVAILABLE
    return EXIT_BROKEN


def main() -> None:
    """Run the command line."""
    try:
        app(exit_on_error=False)
    except CycloptsError:
        # Already printed, with what would have been right.
        sys.exit(EXIT_INVALID)
    except BalsamcleatError as error:
        print(error.message, file=sys.stderr)
        sys.exit(exit_code(error))
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader of our output, such as head, had enough.
        sys.stderr.close()
