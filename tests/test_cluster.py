from dataclasses import replace

import anyio

from balsamcleat.demo import SHAPES, SHORT_PACE, Promise, run_demo

SMALL = replace(SHAPES["liedtafel"], nodes_per_zone=1, engines=3)


def test_the_demonstration_checks_every_promise_and_breaks_none() -> None:
    report = anyio.run(run_demo, SMALL, lambda line: None, SHORT_PACE)
    # Named, so that a failure says which part of the scenario a slow machine left out.
    assert [promise for promise in Promise if not report.checked[promise]] == []
    assert not report.cases
    assert report.kept()
