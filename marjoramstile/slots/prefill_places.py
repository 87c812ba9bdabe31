"""Backlog of one prefill engine, estimated by the engine's owner.

This is pure state without I/O; the caller passes the time.
"""

from dataclasses import dataclass

from marjoramstile.configuration.documents import ServiceClass

INITIAL_TOKENS_PER_S = 20_000.0


@dataclass(frozen=True)
class PrefillAnswer:
    """Whether a prefill was accepted, and in how many seconds it would start."""

    accepted: bool
    start_in_s: float


class PrefillOwner:
    """Tracks the prompt tokens queued at one engine; work in time runs first."""

    def __init__(self, tokens_per_s: float = INITIAL_TOKENS_PER_S):
        self._tokens_per_s = tokens_per_s
        self._backlog = dict.fromkeys(ServiceClass, 0.0)
        self._updated_at: float | None = None

    @property
    def tokens_per_s(self) -> float:
        """The engine's prefill speed, as last reported."""
        return self._tokens_per_s

    def backlog_tokens(self, now: float) -> int:
        """Return the estimated tokens that are queued or being processed."""
        self._subtract_processed(now)
        return int(sum(self._backlog.values()))

    def ask(
        self, tokens: int, service_class: ServiceClass, max_wait_s: float, now: float
    ) -> PrefillAnswer:
        """Accept a prefill if it would start within ``max_wait_s``.

        Work in time waits only for other work in time, late work for both classes.
        """
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
        """Correct the estimate from the engine's report.

        The report may lag, so an estimate above it is reduced only halfway, and one
        below it is left unchanged.
        """
        self._subtract_processed(now)
        if tokens_per_s > 0:
            self._tokens_per_s = tokens_per_s
        total = sum(self._backlog.values())
        if total > queued_tokens:
            scale = (total + queued_tokens) / 2 / total
            self._backlog = {key: n * scale for key, n in self._backlog.items()}

    def _subtract_processed(self, now: float) -> None:
        """Deduct what the engine has processed since the last update."""
        if self._updated_at is not None:
            processed_tokens = (now - self._updated_at) * self._tokens_per_s
            for service_class in (ServiceClass.IN_TIME, ServiceClass.LATE):
                deducted = min(processed_tokens, self._backlog[service_class])
                self._backlog[service_class] -= deducted
                processed_tokens -= deducted
        self._updated_at = now
