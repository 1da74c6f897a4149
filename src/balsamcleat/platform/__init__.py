"""The operators' platform: its names, formats and calls, and nothing that decides.

Nothing outside this folder knows the platform's names. Each module decodes one kind of message
into the project's own types; a comment stands where a name on the wire misleads.
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
from balsamcleat.platform.headers import (
    CORRELATION_HEADER,
    AnswerMarks,
    caller_wait_s,
    failure_headers,
    forwarded_headers,
    last_event_of,
    prompt_ids,
    read_marks,
    relayed_headers,
    request_id,
    stamped_headers,
)
from balsamcleat.platform.orders import OrderOutcome, ReplicaControl
from balsamcleat.platform.settings import PlatformSettings, load_platform_settings
from balsamcleat.platform.steps import (
    ResultsQuery,
    StepCall,
    StepCallKind,
    classify_step_call,
    decode_step,
    encode_results,
    item_headers,
    sample_body,
    stream_versions,
)
from balsamcleat.platform.store import PlatformRowStore

__all__ = [
    "CORRELATION_HEADER",
    "NAMED_VERSION_PREFIX",
    "OPERATOR_TABLE",
    "REPLICA_TABLE",
    "ROUTING_KEY",
    "AnswerMarks",
    "OrderOutcome",
    "PlatformRowStore",
    "PlatformSettings",
    "ReplicaControl",
    "ResultsQuery",
    "StepCall",
    "StepCallKind",
    "caller_wait_s",
    "classify_step_call",
    "decode_named_version",
    "decode_replica",
    "decode_routing",
    "decode_step",
    "encode_results",
    "failure_headers",
    "forwarded_headers",
    "item_headers",
    "last_event_of",
    "load_platform_settings",
    "prompt_ids",
    "read_marks",
    "relayed_headers",
    "request_id",
    "sample_body",
    "stamped_headers",
    "stream_versions",
]
