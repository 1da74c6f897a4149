"""Adapter for the operators' platform: its wire names, message formats and calls, but no decisions.

Code outside this package does not use the platform's wire names. Each module converts one kind of
message to and from the project's own types; comments explain wire names that are misleading.
"""

from balsamcleat.platform.documents import (
    NAMED_VERSION_PREFIX,
    OPERATOR_TABLE,
    REPLICA_TABLE,
    ROUTING_KEY,
    decode_named_version,
    decode_replica,
    decode_routing,
)
from balsamcleat.platform.duties import DUTY_POOL_LIMITS, DutyChannel, PlatformDutyClient
from balsamcleat.platform.headers import (
    CORRELATION_HEADER,
    ResponseMetadata,
    announces_departure,
    error_response_headers,
    forwarded_request_headers,
    forwarded_response_headers,
    is_misdirected,
    parse_announced_limit,
    parse_caller_timeout_s,
    parse_last_event_id,
    parse_response_metadata,
    parse_resumed_attempt,
    prompt_ids,
    request_id,
    stand_in_response_headers,
)
from balsamcleat.platform.orders import (
    OrderOutcome,
    ReplicaControl,
    parse_started_ms,
    report_request,
)
from balsamcleat.platform.settings import (
    DutySettings,
    PlatformSettings,
    load_platform_settings,
)
from balsamcleat.platform.steps import (
    ResultsQuery,
    StepCall,
    StepCallKind,
    classify_step_call,
    decode_step,
    encode_results,
    parse_weight_version,
    sample_body,
    sample_request_headers,
    scoring_request,
)
from balsamcleat.platform.store import PlatformRowStore

__all__ = [
    "CORRELATION_HEADER",
    "DUTY_POOL_LIMITS",
    "NAMED_VERSION_PREFIX",
    "OPERATOR_TABLE",
    "REPLICA_TABLE",
    "ROUTING_KEY",
    "DutyChannel",
    "DutySettings",
    "OrderOutcome",
    "PlatformDutyClient",
    "PlatformRowStore",
    "PlatformSettings",
    "ReplicaControl",
    "ResponseMetadata",
    "ResultsQuery",
    "StepCall",
    "StepCallKind",
    "announces_departure",
    "classify_step_call",
    "decode_named_version",
    "decode_replica",
    "decode_routing",
    "decode_step",
    "encode_results",
    "error_response_headers",
    "forwarded_request_headers",
    "forwarded_response_headers",
    "is_misdirected",
    "load_platform_settings",
    "parse_announced_limit",
    "parse_caller_timeout_s",
    "parse_last_event_id",
    "parse_response_metadata",
    "parse_resumed_attempt",
    "parse_started_ms",
    "parse_weight_version",
    "prompt_ids",
    "report_request",
    "request_id",
    "sample_body",
    "sample_request_headers",
    "scoring_request",
    "stand_in_response_headers",
]
