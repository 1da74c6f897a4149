"""What is worth knowing of this process when a fault is reported."""

import platform
import resource
import sys
from importlib import metadata

import msgspec

from balsamcleat import __version__

__all__ = ["LocalDiagnosis", "local_diagnosis"]

LIBRARIES = (
    "anyio",
    "cyclopts",
    "httpx",
    "hypercorn",
    "msgspec",
    "pycapnp",
    "starlette",
    "statsd",
    "structlog",
)


class LocalDiagnosis(msgspec.Struct, frozen=True):
    """Versions and memory of the process that ran the command."""

    version: str
    python: str
    system: str
    executable: str
    peak_resident_kb: int
    libraries: dict[str, str]


def local_diagnosis() -> LocalDiagnosis:
    """Return this process's versions and peak memory."""
    return LocalDiagnosis(
        version=__version__,
        python=platform.python_version(),
        system=platform.platform(),
        executable=sys.executable,
        peak_resident_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        libraries={name: library_version(name) for name in LIBRARIES},
    )


def library_version(name: str) -> str:
    """Return an installed library's version."""
    try:
        return metadata.version(name)
    except metadata.PackageNotFoundError:
        return "not found"
