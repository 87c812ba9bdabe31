"""Prompt tokens that this daemon has in flight at each replica."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class PrefillLoads:
    """Tokens of the prompts that are being prefilled, by replica id."""

    def __init__(self):
        self._tokens: Counter[str] = Counter()

    def in_flight_tokens(self, replica_id: str) -> int:
        """Return the prompt tokens in flight at a replica."""
        return self._tokens[replica_id]

    @contextmanager
    def counted(self, replica_id: str, tokens: int) -> Iterator[None]:
        """Count a prompt while the block runs."""
        self._tokens[replica_id] += tokens
        try:
            yield
        finally:
            self._tokens[replica_id] -= tokens
            if not self._tokens[replica_id]:
                del self._tokens[replica_id]
