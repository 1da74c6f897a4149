"""Messages of a trainer's calls: submit a step, read its results, read a body, end the step."""

from dataclasses import dataclass
from enum import Enum
from urllib.parse import parse_qs, unquote

import msgspec

from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError, ProtocolError
from balsamcleat.http1 import (
    Headers,
    Request,
    has_valid_field,
    header_text,
    header_value,
    is_visible_ascii,
    without_headers,
)
from balsamcleat.http1.numbers import MAX_NUMBER, decimal_number
from balsamcleat.model import StepId, TargetId, TeamName, WeightVersion
from balsamcleat.model.rollout import (
    PromptPart,
    RolloutStep,
    SampleResult,
    SampleState,
    SampleTask,
    ScoringRequest,
)
from balsamcleat.platform.documents import StoredInteger
from balsamcleat.platform.headers import (
    CORRELATION_HEADER,
    DEADLINE_HEADER,
    EXPECTED_TARGET_HEADER,
    LAST_EVENT_HEADER,
    MS_PER_S,
    PRIORITY_HEADER,
    PROMPT_HEADER,
    TEAM_HEADERS,
    parse_number,
    request_id,
    with_team,
)

__all__ = [
    "ResultsQuery",
    "StepCall",
    "StepCallKind",
    "check_requests",
    "classify_step_call",
    "decode_step",
    "encode_results",
    "sample_body",
    "sample_request_headers",
    "scoring_request",
    "submitted_body",
    "without_sample_credentials",
]

RESULTS_PREFIX = "/lots/"
BODIES_PREFIX = "/items/"
WAIT_HEADER = "Wait-Ms"
TOKEN_USAGE_HEADER = "Token-Usage"
LENGTH_HINT_HEADER = "Length-Hint"
MAX_WAIT_S = 1.0
# Around a header's value, it is no part of the value (RFC 9110, section 5.5).
OPTIONAL_WHITESPACE = " \t"

WIRE_STATES = {SampleState.COMPLETE: "complete", SampleState.GIVEN_UP: "lost"}


class ScorerFields(msgspec.Struct, frozen=True):
    """Request that scores a sample; ``body`` is encoded in base64 on the wire."""

    id: str
    host: str
    path: str
    body: bytes = b""


class ItemFields(msgspec.Struct, frozen=True):
    """Sample of a submission; ``body`` is encoded in base64 on the wire."""

    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    # Number of tokens of the prompt and the output together.
    tokens: StoredInteger = 0
    group: str = ""
    # Despite its name on the wire, a whole request rather than a URL.
    scorer: ScorerFields | None = msgspec.field(name="scorerUrl", default=None)


class SubmissionFields(msgspec.Struct, frozen=True, rename="camel"):
    """Submission of a step; a plain batch has no groups, model or version."""

    requests: list[ItemFields]
    model: str = ""
    min_version: StoredInteger = 0
    target_groups: StoredInteger = 0
    train_step: StoredInteger = 0


class BodyFields(msgspec.Struct, frozen=True):
    """Id and body of a sample of a submission, of which the body is not decoded yet."""

    id: str
    body: msgspec.Raw = msgspec.Raw(b'""')


class BodiesFields(msgspec.Struct, frozen=True):
    """Bodies in a submission of a step."""

    requests: list[BodyFields]


class ResultFields(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result in a page of results."""

    id: str
    state: str
    text: str | None = None
    versions: list[int] | None = None
    score: str = ""


class ResultsFields(msgspec.Struct, frozen=True, rename="camel"):
    """Page of results; ``next`` is the position after its last result."""

    total_count: int
    results: list[ResultFields]
    next: int


class StepCallKind(Enum):
    """Operation that a call about an accepted step requests."""

    RESULTS = "results"
    BODY = "body"
    END = "end"


@dataclass(frozen=True, slots=True)
class ResultsQuery:
    """Query for the results from a position on; it waits up to ``wait_s`` for the first one."""

    position: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class StepCall:
    """Call about an accepted step.

    Attributes:
        kind: Operation that the call requests.
        step_id: Id of the step.
        query: Query for results; set only if ``kind`` is ``RESULTS``.
        sample_id: Id of the sample whose body is requested; set only if ``kind`` is ``BODY``.
    """

    kind: StepCallKind
    step_id: StepId
    query: ResultsQuery | None = None
    sample_id: str = ""


def classify_step_call(request: Request) -> StepCall | None:
    """Return the call about an accepted step that a request makes, or None if it makes none."""
    path = unquote(request.path)
    fields = parse_qs(request.query)
    if path.startswith(RESULTS_PREFIX):
        step_id = StepId(path.removeprefix(RESULTS_PREFIX))
        if request.method == "DELETE":
            return StepCall(StepCallKind.END, step_id)
        if request.method == "GET":
            return StepCall(
                StepCallKind.RESULTS, step_id, query=parse_results_query(request, fields)
            )
    if path.startswith(BODIES_PREFIX) and request.method == "GET":
        step_id = StepId(path.removeprefix(BODIES_PREFIX))
        return StepCall(StepCallKind.BODY, step_id, sample_id=fields.get("id", [""])[0])
    return None


def parse_results_query(request: Request, fields: dict[str, list[str]]) -> ResultsQuery:
    """Return the query for results; an invalid position is replaced by the start of the list."""
    position = fields.get("after", ["0"])[0]
    wait_s = (parse_number(header_value(request.headers, WAIT_HEADER)) or 0.0) / MS_PER_S
    return ResultsQuery(
        position=decimal_number(position) or 0,
        wait_s=min(max(0.0, wait_s), MAX_WAIT_S),
    )


def decode_step(headers: Headers, body: bytes) -> RolloutStep:
    """Return the step of a submission.

    Raises:
        InvalidInputError: The submission can't be decoded, or two samples have the same id.
    """
    try:
        fields = decode_json(body, SubmissionFields)
    except msgspec.DecodeError as error:
        raise InvalidInputError(f"invalid step submission: {error}", step="step.decode") from error
    samples = tuple(decode_sample(item) for item in fields.requests)
    if len({sample.sample_id for sample in samples}) != len(samples):
        raise InvalidInputError("two samples have the same id", step="step.decode")
    return RolloutStep(
        step_id=StepId(request_id(headers)),
        model=fields.model,
        oldest_version=WeightVersion(fields.min_version),
        required_groups=fields.target_groups,
        number=fields.train_step,
        samples=samples,
    )


def decode_sample(fields: ItemFields) -> SampleTask:
    """Return a sample; token counts that its headers do not state stay unknown."""
    headers = tuple(fields.headers.items())
    prompt = parse_prompt_parts(header_value(headers, PROMPT_HEADER) or "")
    prompt_tokens, max_tokens = parse_token_usage(header_value(headers, TOKEN_USAGE_HEADER) or "")
    return SampleTask(
        sample_id=fields.id,
        # Each sample of a plain batch is a group of its own.
        group=fields.group or fields.id,
        path=fields.path,
        headers=headers,
        body=fields.body,
        prompt=prompt,
        prompt_tokens=prompt_tokens or sum(part.tokens for part in prompt),
        max_tokens=max_tokens or fields.tokens,
        expected_tokens=parse_length_hint(header_value(headers, LENGTH_HINT_HEADER)),
        scoring=decode_scoring(fields.scorer),
    )


def check_requests(step: RolloutStep) -> None:
    """Check that the requests of a new step's samples can be sent.

    Raises:
        InvalidInputError: HTTP can't express one of them, so its sample could never be generated.
    """
    for sample in step.samples:
        scoring = sample.scoring
        is_valid = is_valid_request(sample.path, (sample.sample_id,), sample.headers)
        if scoring is not None:
            is_valid &= is_valid_request(scoring.path, (scoring.request_id, scoring.host))
        if not is_valid:
            raise InvalidInputError(
                f"the request of sample {sample.sample_id!r} can't be sent", step="step.check"
            )


def is_valid_request(path: str, values: tuple[str, ...], headers: Headers = ()) -> bool:
    """Return whether a request can be sent.

    Args:
        path: Target of the request.
        values: Values of headers that this VM sets, which are sent as they are.
        headers: Headers that the trainer has set.
    """
    fields = ((CORRELATION_HEADER, value) for value in values)
    return (
        is_visible_ascii(path)
        and all(value == value.strip(OPTIONAL_WHITESPACE) for value in values)
        and all(has_valid_field(name, text) for name, text in (*fields, *headers))
    )


def without_sample_credentials(body: bytes, step: RolloutStep) -> bytes:
    """Return the body of a submission without the credentials in the headers of its samples.

    Args:
        body: Body of the submission.
        step: Step that was decoded from the body.
    """
    if not any(
        name.lower() in TEAM_HEADERS for sample in step.samples for name, _ in sample.headers
    ):
        return body
    # Decoded without a type, so that fields unknown to this build are kept.
    fields = decode_json(body)
    for item in fields["requests"]:
        headers = item.get("headers", {})
        item["headers"] = {
            name: value for name, value in headers.items() if name.lower() not in TEAM_HEADERS
        }
    return msgspec.json.encode(fields)


def decode_scoring(fields: ScorerFields | None) -> ScoringRequest | None:
    """Return the request that scores a sample, or None if the sample has no score."""
    if fields is None:
        return None
    return ScoringRequest(fields.id, fields.host.lower(), fields.path, fields.body)


def parse_prompt_parts(value: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt from comma-separated ID:TOKENS entries."""
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        count = decimal_number(tokens)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, count))
    return tuple(parts)


def parse_token_usage(value: str) -> tuple[int, int]:
    """Return the numbers of prompt tokens and maximum output tokens; zeros if not stated."""
    prompt, _, output = value.partition(",")
    counts = decimal_number(prompt), decimal_number(output)
    return (0, 0) if None in counts else (counts[0] or 0, counts[1] or 0)


def parse_length_hint(value: str | None) -> float | None:
    """Return the expected number of output tokens, or None if there is none or it can't be."""
    hint = parse_number(value)
    return hint if hint is not None and 0.0 <= hint <= MAX_NUMBER else None


def sample_body(step: RolloutStep, sample_id: str) -> bytes | None:
    """Return the body of a sample, or None if the step has no sample with this id."""
    for sample in step.samples:
        if sample.sample_id == sample_id:
            return sample.body
    return None


def sample_request_headers(
    sample: SampleTask,
    host: str,
    *,
    target_id: TargetId,
    remaining_s: float,
    priority: int,
    last_event: int | None,
    team: TeamName | None = None,
    has_teams: bool = False,
) -> Headers:
    """Return the headers of a request that generates a sample or resumes its generation.

    Args:
        sample: Sample to generate.
        host: Host name of the route.
        target_id: The only target that may run the request; any other rejects it.
        remaining_s: Time that the target has until the deadline, in seconds.
        priority: Priority of the request from 0 (highest) to 9.
        last_event: Number of the last event that was received; None to generate from the start.
        team: Team that submitted the sample's step, if it has one.
        has_teams: Whether the configuration has teams, so that the trainer's own credentials and
            team are removed.
    """
    replaced = {
        "host",
        "content-length",
        "transfer-encoding",
        "connection",
        DEADLINE_HEADER.lower(),
    }
    if has_teams:
        replaced |= TEAM_HEADERS
    headers = (
        ("Host", host),
        (CORRELATION_HEADER, header_text(sample.sample_id)),
        *(
            (name, header_text(text.strip(OPTIONAL_WHITESPACE)))
            for name, text in without_headers(
                sample.headers, replaced | {CORRELATION_HEADER.lower(), LAST_EVENT_HEADER.lower()}
            )
        ),
        (DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))),
        (EXPECTED_TARGET_HEADER, target_id),
        (PRIORITY_HEADER, str(priority)),
    )
    headers = with_team(headers, team)
    if last_event is None:
        return headers
    return (*headers, (LAST_EVENT_HEADER, str(last_event)))


def scoring_request(scoring: ScoringRequest, now_s: float) -> Request:
    """Return the request that scores a sample.

    Args:
        scoring: Request as the trainer submitted it.
        now_s: Time of the event loop's clock, in seconds.
    """
    headers = (
        ("Host", header_text(scoring.host)),
        (CORRELATION_HEADER, header_text(scoring.request_id)),
    )
    return Request("POST", scoring.path, headers, scoring.body, now_s)


def submitted_body(submission: bytes, sample_id: str) -> bytes | None:
    """Return the body of a sample in a submission, or None if there is no sample with this id.

    Raises:
        ProtocolError: The submission can't be decoded.
    """
    try:
        fields = decode_json(submission, BodiesFields)
        found = next((item.body for item in fields.requests if item.id == sample_id), None)
        return None if found is None else decode_json(found, bytes)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"invalid step submission: {error}", step="step.decode") from error


def encode_results(total: int, position: int, results: tuple[SampleResult, ...]) -> bytes:
    """Return an encoded page of results that starts at a position.

    Args:
        total: Number of samples of the step.
        position: Position of the page's first result in the step's result list.
        results: Results of the page.
    """
    fields = [
        ResultFields(
            id=result.sample_id,
            state=WIRE_STATES[result.state],
            text=result.text,
            versions=list(result.versions),
            score=result.score,
        )
        for result in results
    ]
    return msgspec.json.encode(ResultsFields(total, fields, position + len(results)))
