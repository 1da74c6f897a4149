"""The entry VM's process on the operators' platform: its composition root and its start."""

from balsamcleat.entry.process import EntryProcess, run_entry

__all__ = ["EntryProcess", "run_entry"]
