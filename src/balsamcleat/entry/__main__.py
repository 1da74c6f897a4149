"""Run an entry VM's process on the operators' platform: `python -m balsamcleat.entry`.

This does the same as `balsamcleat entry`, but does not load the command line library, which a
small VM can do without.
"""

import os
from pathlib import Path

from balsamcleat.signal_mask import hold_signals

__all__ = ["main"]


def main() -> None:
    """Run the process until it is stopped; an environment variable names the settings file."""
    # Before the other imports: a signal must not end the process while they are loaded.
    hold_signals()

    import anyio

    from balsamcleat.entry.process import run_entry
    from balsamcleat.platform.settings import SETTINGS_VARIABLE

    anyio.run(run_entry, Path(os.environ[SETTINGS_VARIABLE]))


if __name__ == "__main__":
    main()
