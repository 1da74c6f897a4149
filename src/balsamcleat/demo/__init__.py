"""The demonstration: a whole small system on loopback, put through failures."""

from balsamcleat.demo.pace import FULL_PACE, SHORT_PACE, Pace
from balsamcleat.demo.report import DemoReport, Promise
from balsamcleat.demo.scenario import run_demo
from balsamcleat.demo.shapes import SHAPES

__all__ = ["FULL_PACE", "SHAPES", "SHORT_PACE", "DemoReport", "Pace", "Promise", "run_demo"]
