"""The previous build, whose VMs run beside those of this one: its sources, and what it wrote.

python tests/previous_build.py     records the examples anew
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["PREVIOUS_COMMIT", "examples", "extract_sources", "has_history", "run_codec"]

PREVIOUS_COMMIT = "91fd965"
ROOT = Path(__file__).parent.parent
CODEC = Path(__file__).parent / "build_codec.py"
EXAMPLES = Path(__file__).parent / "previous_build_examples.json"
# In the file of examples, a text with this prefix stands for bytes, one per character.
BYTES_PREFIX = "bytes:"
TIMEOUT_S = 30


def has_history() -> bool:
    """Return whether the repository has the commit of the previous build."""
    command = ["git", "cat-file", "-e", f"{PREVIOUS_COMMIT}^{{commit}}"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, check=False).returncode == 0


def extract_sources(folder: Path) -> Path:
    """Extract the sources of the previous build and return the folder for ``PYTHONPATH``."""
    command = ["git", "archive", "--format=tar", PREVIOUS_COMMIT, "src"]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
    return folder / "src"


def run_codec(sources: Path, mode: str, messages: dict[str, Any] | None = None) -> dict[str, Any]:
    """Write messages, or read given ones, with the sources of a build."""
    done = subprocess.run(
        [sys.executable, str(CODEC), mode],
        input=msgspec.msgpack.encode(messages or {}),
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(sources)},
        timeout=TIMEOUT_S,
        check=True,
    )
    found: dict[str, Any] = msgspec.msgpack.decode(done.stdout)
    return found


def examples() -> dict[str, Any]:
    """Return the recorded messages of the previous build, by kind."""
    found: dict[str, Any] = unpack(msgspec.json.decode(EXAMPLES.read_bytes()))
    return found


def pack(value: Any) -> Any:
    """Return a value whose bytes are replaced by texts."""
    if isinstance(value, bytes):
        return BYTES_PREFIX + value.decode("latin-1")
    if isinstance(value, list):
        return [pack(item) for item in value]
    return {name: pack(item) for name, item in value.items()} if isinstance(value, dict) else value


def unpack(value: Any) -> Any:
    """Return a value whose texts that stand for bytes are replaced."""
    if isinstance(value, str) and value.startswith(BYTES_PREFIX):
        return value.removeprefix(BYTES_PREFIX).encode("latin-1")
    if isinstance(value, list):
        return [unpack(item) for item in value]
    return (
        {name: unpack(item) for name, item in value.items()} if isinstance(value, dict) else value
    )


def main() -> None:
    """Record the examples with the code of the previous build."""
    with tempfile.TemporaryDirectory() as folder:
        messages = run_codec(extract_sources(Path(folder)), "write")
    EXAMPLES.write_bytes(msgspec.json.format(msgspec.json.encode(pack(messages)), indent=1) + b"\n")


if __name__ == "__main__":
    main()
