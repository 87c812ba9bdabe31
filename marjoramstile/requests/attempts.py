"""Completion requests and the attempts to serve them."""

from dataclasses import dataclass, field, replace
from functools import cached_property

from marjoramstile.configuration.documents import (
    Configuration,
    LanguageService,
    ServiceClass,
)
from marjoramstile.results import Ran
from marjoramstile.routing.pieces import pieces_needed
from marjoramstile.routing.snapshots import Demand
from marjoramstile.utils import content_fingerprint

BYTES_PER_TOKEN = 4


@dataclass(frozen=True)
class CompletionRequest:
    """A validated request for a completion."""

    request_id: str
    workspace: str
    share: int
    service_name: str
    service: LanguageService
    prompt: str
    max_tokens: int
    received_at: float

    @cached_property
    def content(self) -> str:
        """Fingerprint of model, prompt and output limit, independent of the caller."""
        return content_fingerprint(
            self.service.model, self.prompt, str(self.max_tokens)
        )

    @cached_property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt."""
        return max(1, len(self.prompt.encode()) // BYTES_PER_TOKEN)


@dataclass(frozen=True)
class Attempt:
    """One attempt to produce the rest of an answer after the tokens ``generated``."""

    number: int
    request: CompletionRequest
    configuration: Configuration
    generated: tuple[str, ...] = ()
    excluded: frozenset[str] = field(default_factory=frozenset)

    @property
    def work_id(self) -> str:
        """Identifier of the attempt's work on engines."""
        return f"{self.request.request_id}.{self.number}"

    @property
    def resumed(self) -> bool:
        """Whether tokens were already sent to the caller."""
        return bool(self.generated)

    @property
    def ran(self) -> Ran:
        """Whether the request has run, provided that this attempt has not."""
        if self.resumed:
            return Ran.YES
        return Ran.UNKNOWN if self.number else Ran.NO

    @property
    def demand(self) -> Demand:
        """Tokens and memory that the rest of the answer needs."""
        prompt_tokens = self.request.prompt_tokens + len(self.generated)
        output_tokens = self.request.max_tokens - len(self.generated)
        return Demand(
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            pieces=pieces_needed(prompt_tokens, output_tokens),
            excluded=self.excluded,
        )

    @property
    def may_wait(self) -> bool:
        """Whether the answer may be delayed: it has begun, or its class is late."""
        late = self.request.service.service_class == ServiceClass.LATE
        return self.resumed or late

    def next_attempt(self, generated: list[str], excluded: frozenset[str]) -> "Attempt":
        """Return the attempt that follows this one."""
        return replace(
            self,
            number=self.number + 1,
            generated=tuple(generated),
            excluded=excluded,
        )
