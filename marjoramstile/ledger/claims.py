"""Claims: the rows that permit one daemon to send one call once.

A claim's row is keyed by workspace and idempotency key. Writing it while absent
(or released) is the permission to send; nobody but the claimant ever sends, so a
claimant may be paused for any time between the claim and the sending. A claim is
released only by its claimant, and only if it surely did not send.
"""

from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

CLAIMS_TABLE = "claims"


class ClaimState(StrEnum):
    """What is known of a call."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


@dataclass(frozen=True)
class RecordedAnswer:
    """The answer that the call got; ``body`` is base64, or in ``body_object``."""

    status: int
    content_type: str
    body: str
    body_object: str = ""


@dataclass(frozen=True)
class Claim:
    """A claim as its row holds it.

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
        """Return the claim after its claimant gave it up without sending."""
        return replace(self, state=ClaimState.RELEASED)


def claim_from_value(value: dict[str, Any]) -> Claim:
    """Return the claim that ``value`` holds."""
    fields = dict(value)
    answer = fields.pop("answer", None)
    state = ClaimState(fields.pop("state"))
    return Claim(
        **fields, state=state, answer=RecordedAnswer(**answer) if answer else None
    )


class Finding(StrEnum):
    """What a daemon that wants to send finds in the row."""

    FREE = "free"
    OURS = "ours"
    OTHER_CONTENT = "other_content"
    ANSWERED = "answered"
    CLAIMED_BY_OTHER = "claimed_by_other"


def classify_claim(existing: Claim | None, wanted: Claim) -> Finding:
    """Decide what an existing row means for the claim ``wanted``."""
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
    """Return the row's key."""
    return f"{workspace}/{idempotency_key}"
