"""Queries, which only read."""
