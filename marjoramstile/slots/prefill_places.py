"""Backlog of one prefill engine: a pure estimate kept by the engine's owner."""

from dataclasses import dataclass

from marjoramstile.configuration.documents import ServiceClass

INITIAL_TOKENS_PER_S = 20_000.0


@dataclass(frozen=True)
class PrefillAnswer:
    """When a prefill would start, and whether it was added to the backlog."""

    accepted: bool
    start_in_s: float


class PrefillOwner:
    """Adds up the tokens that daemons bring to one engine; work in time goes first."""

    def __init__(self, tokens_per_s: float = INITIAL_TOKENS_PER_S):
        self._tokens_per_s = tokens_per_s
        self._backlog = dict.fromkeys(ServiceClass, 0.0)
        self._updated_at: float | None = None

    @property
    def tokens_per_s(self) -> float:
        """The engine's speed."""
        return self._tokens_per_s

    def backlog_tokens(self, now: float) -> int:
        """Return the tokens that wait or are being processed."""
        self._subtract_processed(now)
        return int(sum(self._backlog.values()))

    def ask(
        self, tokens: int, service_class: ServiceClass, max_wait_s: float, now: float
    ) -> PrefillAnswer:
        """Accept a prefill if it would start within ``max_wait_s``."""
        self._subtract_processed(now)
        ahead = self._backlog[ServiceClass.IN_TIME]
        if service_class == ServiceClass.LATE:
            ahead += self._backlog[ServiceClass.LATE]
        start_in_s = ahead / self._tokens_per_s
        accepted = start_in_s <= max_wait_s
        if accepted:
            self._backlog[service_class] += tokens
        return PrefillAnswer(accepted, start_in_s)

    def sync(self, queued_tokens: int, tokens_per_s: float, now: float) -> None:
        """Correct the estimate by the engine's report, which may lag."""
        self._subtract_processed(now)
        if tokens_per_s > 0:
            self._tokens_per_s = tokens_per_s
        total = sum(self._backlog.values())
        if total > queued_tokens:
            scale = (total + queued_tokens) / 2 / total
            self._backlog = {key: n * scale for key, n in self._backlog.items()}

    def _subtract_processed(self, now: float) -> None:
        if self._updated_at is not None:
            processed_tokens = (now - self._updated_at) * self._tokens_per_s
            for service_class in (ServiceClass.IN_TIME, ServiceClass.LATE):
                deducted = min(processed_tokens, self._backlog[service_class])
                self._backlog[service_class] -= deducted
                processed_tokens -= deducted
        self._updated_at = now
