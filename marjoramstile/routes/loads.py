"""Prompt tokens that this daemon has under way at each replica."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class PrefillLoads:
    """Prompts by replica id, in tokens, while they are prefilled."""

    def __init__(self):
        self._tokens: Counter[str] = Counter()

    def in_flight_tokens(self, replica_id: str) -> int:
        """Return the prompt tokens under way at a replica."""
        return self._tokens[replica_id]

    @contextmanager
    def counted(self, replica_id: str, tokens: int) -> Iterator[None]:
        """Count a prompt for as long as the block runs."""
        self._tokens[replica_id] += tokens
        try:
            yield
        finally:
            self._tokens[replica_id] -= tokens
            if not self._tokens[replica_id]:
                del self._tokens[replica_id]
