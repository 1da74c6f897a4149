"""Process of an entry VM on the operators' platform: its composition root and its startup."""

from balsamcleat.entry.process import EntryProcess, run_entry

__all__ = ["EntryProcess", "run_entry"]
