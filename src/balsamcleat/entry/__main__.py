"""Run an entry VM's process on the operators' platform: `python -m balsamcleat.entry`.

This is `balsamcleat entry` without the command line's library, which a small VM can spare.
"""

import os
from pathlib import Path

import anyio

from balsamcleat.entry.process import run_entry
from balsamcleat.platform.settings import SETTINGS_VARIABLE

__all__ = ["main"]


def main() -> None:
    """Run by the settings file that the platform names in the environment, until told to stop."""
    anyio.run(run_entry, Path(os.environ[SETTINGS_VARIABLE]))


if __name__ == "__main__":
    main()
