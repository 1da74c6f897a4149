"""Stored form of a trainer's submission."""

import msgspec

from balsamcleat.decisions.team_access import StepSubmitter
from balsamcleat.http1 import Headers
from balsamcleat.model import TeamName
from balsamcleat.model.team_keys import bearer_key_digest
from balsamcleat.platform import authorization, without_team_headers

__all__ = ["StepSubmission"]


class StepSubmission(msgspec.Struct, frozen=True, omit_defaults=True):
    """Submission of a step without its key.

    Attributes:
        headers: Headers of the submission; those that the previous build stored contain the key.
        body: Body of the submission.
        team: Team that submitted the step; empty if no key was checked.
        key_digest: Digest of the key that was not checked; empty if there was none.
    """

    headers: Headers
    body: bytes
    team: str = ""
    key_digest: str = ""

    @classmethod
    def received(cls, headers: Headers, body: bytes, team: TeamName | None) -> "StepSubmission":
        """Return the submission to store for a request with these headers and this body."""
        digest = None if team is not None else bearer_key_digest(authorization(headers))
        return cls(without_team_headers(headers), body, team or "", digest or "")

    @property
    def submitter(self) -> StepSubmitter:
        """What is known about the sender of the submission.

        A name of a team among the headers proves nothing: the previous build stores what callers
        send.
        """
        digest = self.key_digest or bearer_key_digest(authorization(self.headers)) or ""
        return StepSubmitter(self.team, digest)
