"""Requests about steps that pass the dispatcher of a simulated VM."""

from dataclasses import replace

import step_world as w
from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.http1 import Request
from balsamcleat.tasks.request_dispatcher import RequestDispatcher
from balsamcleat.tasks.team_guard import TeamGuard


async def dispatch(vm: w.StepVm, request: Request, key: str | None = None) -> int:
    """Return the status with which a VM answers a request, which has a team's key if one is given.

    The configuration in force is ``step_world.TABLE``.
    """
    guard = TeamGuard(lambda: True, lambda: 0.0, TextMetrics())
    dispatcher = RequestDispatcher(
        lambda: w.TABLE,
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        vm.handler,
        guard,
    )
    if key is not None:
        headers = (*request.headers, ("Authorization", f"Bearer {key}"))
        request = replace(request, headers=headers)
    responder = w.RecordingResponder()
    await dispatcher.dispatch(request, responder)
    return responder.status
