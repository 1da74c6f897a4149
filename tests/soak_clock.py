"""Runs an entry process whose wall clock another process can move.

Moving the clock of the machine would need its administrator's rights, so the process gets a clock
of its own: this module replaces ``time.time`` before the program is imported. The first argument is
a file of eight bytes, which both processes map, with the offset in seconds.
"""

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

__all__ = ["ClockOffset"]

OFFSET = struct.Struct("d")


class ClockOffset:
    """Offset of a process's wall clock, in a file that both processes map.

    Args:
        path: Path of the file, which is created if it does not exist.
    """

    def __init__(self, path: Path) -> None:
        if not path.exists():
            path.write_bytes(OFFSET.pack(0.0))
        with path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), OFFSET.size)

    def set(self, offset_s: float) -> None:
        """Move the clock to an offset from the machine's clock, in seconds."""
        OFFSET.pack_into(self.memory, 0, offset_s)

    def get(self) -> float:
        """Return the offset in seconds."""
        return OFFSET.unpack_from(self.memory)[0]


def main() -> None:
    """Move the wall clock of this process by the offset, and run the entry process in it."""
    offset, machine_clock = ClockOffset(Path(sys.argv[1])), time.time
    time.time = lambda: machine_clock() + offset.get()
    del sys.argv[1]
    runpy.run_module("balsamcleat.entry", run_name="__main__")


if __name__ == "__main__":
    main()
