"""Responses to trainers' calls about steps that several handlers send."""

import structlog

from balsamcleat.http1 import Responder, Response
from balsamcleat.model import StepId
from balsamcleat.platform import error_response_headers

__all__ = [
    "STORE_UNAVAILABLE_REASON",
    "send_accepted",
    "send_not_found",
    "send_outcome_unknown",
    "send_unavailable",
]

RETRY_AFTER_S = 0.4
STORE_UNAVAILABLE_REASON = "the store does not answer"

log = structlog.get_logger()


async def send_accepted(responder: Responder, step_id: StepId, how: str) -> None:
    """Respond that a step is stored."""
    log.info("step accepted", step=step_id, how=how)
    await responder.send(Response(202))


async def send_unavailable(responder: Responder, step_id: StepId, reason: str) -> None:
    """Respond that the call had no effect, and when to retry it."""
    log.warning("call refused", step=step_id, reason=reason, status=503)
    await responder.send(Response(503, error_response_headers("", RETRY_AFTER_S)))


async def send_outcome_unknown(responder: Responder, step_id: StepId, reason: str) -> None:
    """Respond that a step may or may not be stored."""
    log.warning("step's outcome unknown", step=step_id, reason=reason, status=504)
    await responder.send(Response(504, error_response_headers("")))


async def send_not_found(responder: Responder, step_id: StepId, reason: str) -> None:
    """Respond that there is no such step or sample."""
    log.info("step not found", step=step_id, reason=reason)
    await responder.send(Response(404, error_response_headers("")))
