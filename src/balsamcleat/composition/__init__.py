"""Composition root: builds the parts of a node and connects them."""

from balsamcleat.composition.node import Node
from balsamcleat.composition.root import compose

__all__ = ["Node", "compose"]
