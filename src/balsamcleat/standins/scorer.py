"""A stand-in of a service that scores samples."""

from dataclasses import dataclass, field

import anyio
import msgspec
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from balsamcleat.adapters.http_service import ScoreMessage, ScoreReply
from balsamcleat.standins.flaws import flaws_route

__all__ = ["ScorerFlaws", "ScorerStandIn"]


@dataclass
class ScorerFlaws:
    """Switches for what goes wrong.

    Attributes:
        delay_s: Time a score takes, in seconds.
        down: Refuse with 503.
        fail_next: How many of the next scores answer 500.
    """

    delay_s: float = 0.001
    down: bool = False
    fail_next: int = 0


@dataclass
class ScorerStandIn:
    """Scores by a digest of the text, so that any reader can check a score.

    Attributes:
        flaws: What goes wrong.
        scores: Scores given.
    """

    flaws: ScorerFlaws = field(default_factory=ScorerFlaws)
    scores: int = 0

    def app(self) -> Starlette:
        """Return the HTTP application."""
        score = Route("/v1/score", self.score, methods=["POST"])
        return Starlette(routes=[score, flaws_route(self.flaws)])

    async def score(self, request: Request) -> Response:
        """Answer one score."""
        if self.flaws.down:
            return Response(status_code=503)
        message = msgspec.json.decode(await request.body(), type=ScoreMessage)
        await anyio.sleep(self.flaws.delay_s)
        if self.flaws.fail_next > 0:
            self.flaws.fail_next -= 1
            return Response(status_code=500)
        self.scores += 1
        score = xxhash.xxh32_intdigest((message.prompt + message.text).encode()) / 2**32
        return Response(msgspec.json.encode(ScoreReply(score)), media_type="application/json")
