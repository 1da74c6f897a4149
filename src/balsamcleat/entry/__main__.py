"""Run an entry VM's process on the operators' platform: `python -m balsamcleat.entry`.

This does the same as `balsamcleat entry`, but does not load the command line library, which a
small VM can do without.
"""

import os
from pathlib import Path

import anyio

from balsamcleat.entry.process import run_entry
from balsamcleat.platform.settings import SETTINGS_VARIABLE

__all__ = ["main"]


def main() -> None:
    """Run the process until it is stopped; an environment variable names the settings file."""
    anyio.run(run_entry, Path(os.environ[SETTINGS_VARIABLE]))


if __name__ == "__main__":
    main()
