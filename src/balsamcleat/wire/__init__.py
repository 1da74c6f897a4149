"""Schemas of the messages between entry VMs."""
