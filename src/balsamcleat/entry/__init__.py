"""The entry VM's process on the operators' platform: its composition root and its start."""

from balsamcleat.entry.node import EntryNode, run_entry

__all__ = ["EntryNode", "run_entry"]
