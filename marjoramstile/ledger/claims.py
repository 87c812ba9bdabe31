"""Claims: rows that permit one daemon to send a non-idempotent call once.

A claim's row is keyed by workspace and idempotency key. The daemon that writes it
while it is absent or released may send the call. No other daemon ever sends it, so
a claimant may stall for any time between claiming and sending. Only the claimant
releases a claim, and only if the call was certainly not executed.
"""

from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

CLAIMS_TABLE = "claims"


class ClaimState(StrEnum):
    """State of a call as recorded in its claim."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclass(frozen=True)
class RecordedAnswer:
    """The recorded answer to a call.

    ``body`` is base64; a large body is stored under ``body_object`` instead.
    """

    status: int
    content_type: str
    body: str
    body_object: str = ""


@dataclass(frozen=True)
class Claim:
    """A claim as stored in its row.

    ``token`` is unique to the attempt, ``content_hash`` identifies the call's
    content, ``target`` is the endpoint chosen when claiming.
    """

    token: str
    content_hash: str
    daemon: str
    incarnation: str
    target: str
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedAnswer | None = None

    def to_value(self) -> dict[str, Any]:
        """Return the row's value."""
        return asdict(self)

    def done(self, answer: RecordedAnswer) -> "Claim":
        """Return the claim with its answer."""
        return replace(self, state=ClaimState.DONE, answer=answer)

    def released(self) -> "Claim":
        """Return the claim as released: the call was certainly not executed."""
        return replace(self, state=ClaimState.RELEASED)


def claim_from_value(value: dict[str, Any]) -> Claim:
    """Return the claim stored in a row's value."""
    fields = dict(value)
    answer = fields.pop("answer", None)
    state = ClaimState(fields.pop("state"))
    return Claim(
        **fields, state=state, answer=RecordedAnswer(**answer) if answer else None
    )


class Finding(StrEnum):
    """What an existing row means for a daemon that wants to claim the call."""

    FREE = "free"
    OURS = "ours"
    OTHER_CONTENT = "other_content"
    ANSWERED = "answered"
    CLAIMED_BY_OTHER = "claimed_by_other"


def classify_claim(existing: Claim | None, wanted: Claim) -> Finding:
    """Return what the row's claim means for the claim ``wanted``."""
    if existing is None:
        return Finding.FREE
    if existing.token == wanted.token and existing.state == ClaimState.CLAIMED:
        return Finding.OURS
    if existing.content_hash != wanted.content_hash:
        return Finding.OTHER_CONTENT
    if existing.state == ClaimState.RELEASED:
        return Finding.FREE
    if existing.state == ClaimState.DONE:
        return Finding.ANSWERED
    return Finding.CLAIMED_BY_OTHER


def claim_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of a call's row."""
    return f"{workspace}/{idempotency_key}"
