"""Queue of placement requests, in the order in which they are placed."""

import bisect
import itertools
from collections import Counter
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from marjoramstile.pools.memory import Generation, mean_tokens
from marjoramstile.pools.messages import PlacementRequest, Urgency
from marjoramstile.pools.shares import Standing

# A request is dropped when its daemon has not polled for this long, and for two more of
# the periods that it was told.
POLL_TIMEOUT_S = 0.45


class Rank(NamedTuple):
    """Rank of a request in the queue; lower ones are placed first.

    ``early`` means a retry before the time that its refusal named. ``arrived`` is when
    the request arrived at its daemon; ``number`` counts the requests queued here.
    """

    urgency: Urgency
    standing: Standing
    workspace_priority: int
    priority: int
    early: bool
    arrived: float
    number: int


@dataclass(order=True)
class WaitingRequest:
    """A queued request; it is refused if it has not been placed by ``deadline``.

    ``output_tokens`` is the expected length of its output. ``polled_at`` is when its
    daemon last polled; None if the daemon need not poll. ``overtaken`` means that
    another request has been placed in the queue ahead of it, ``held_back`` that it has
    been passed over to leave room for more urgent ones.
    """

    rank: Rank
    request: PlacementRequest = field(compare=False)
    urgency: Urgency = field(compare=False)
    output_tokens: int = field(compare=False)
    queued_at: float = field(compare=False)
    deadline: float = field(compare=False)
    polled_at: float | None = field(compare=False)
    poll_after_s: float = field(default=0.0, compare=False)
    overtaken: bool = field(default=False, compare=False)
    held_back: bool = field(default=False, compare=False)

    def is_abandoned(self, now: float) -> bool:
        """Return whether its daemon has stopped polling."""
        if self.polled_at is None:
            return False
        return now - self.polled_at > POLL_TIMEOUT_S + 2 * self.poll_after_s

    @property
    def tokens(self) -> int:
        """Expected memory of the generation, averaged over its duration."""
        return mean_tokens(self.request.prompt_tokens, self.output_tokens)

    @property
    def generation(self) -> Generation:
        """The generation as it would start."""
        return Generation(
            self.request.prompt_tokens, self.output_tokens, self.output_tokens
        )


class RequestQueue:
    """Queued requests by their ranks; a scheduler owns it."""

    def __init__(self):
        self._items: list[WaitingRequest] = []
        self._by_id: dict[str, WaitingRequest] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._items)

    def __contains__(self, waiting: WaitingRequest) -> bool:
        return self._by_id.get(waiting.request.id) is waiting

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompts of all queued requests."""
        return sum(item.request.prompt_tokens for item in self._items)

    @property
    def workspace_tokens(self) -> dict[str, int]:
        """Expected memory of the queued requests by workspace."""
        tokens: Counter[str] = Counter()
        for item in self._items:
            tokens[item.request.workspace] += item.tokens
        return tokens

    def rank(
        self,
        request: PlacementRequest,
        urgency: Urgency,
        now: float,
        standing: Standing = Standing.WITHIN_SHARE,
        early: bool = False,
    ) -> Rank:
        """Return the rank of a request that arrives in the queue now."""
        arrived = now - request.waited_s
        number = next(self._numbers)
        return Rank(urgency, standing, *request.priority_class, early, arrived, number)

    def add(self, waiting: WaitingRequest) -> None:
        """Insert a request by its rank."""
        index = bisect.bisect(self._items, waiting.rank, key=_rank_of)
        self._items.insert(index, waiting)
        self._by_id[waiting.request.id] = waiting
        for item in itertools.islice(self._items, index + 1, None):
            item.overtaken = True

    def rerank(
        self,
        standing_of: Callable[[str], Standing],
        changed_workspaces: Container[str] | None = None,
    ) -> set[str]:
        """Sort the requests by the present standings of their workspaces.

        Only ``changed_workspaces`` are examined if given. Returns the workspaces that
        are over their share now and were not before.
        """
        standings: dict[str, Standing] = {}
        newly_over: set[str] = set()
        changed = False
        for item in self._items:
            workspace = item.request.workspace
            if changed_workspaces is not None and workspace not in changed_workspaces:
                continue
            standing = standings.get(workspace)
            if standing is None:
                standing = standings[workspace] = standing_of(workspace)
            if standing != item.rank.standing:
                item.overtaken = item.overtaken or standing > item.rank.standing
                if standing == Standing.OVER_SHARE:
                    newly_over.add(workspace)
                item.rank = item.rank._replace(standing=standing)
                changed = True
        if changed:
            self._items.sort(key=_rank_of)
        return newly_over

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request."""
        self._items.remove(waiting)
        del self._by_id[waiting.request.id]

    def find(self, request_id: str) -> WaitingRequest | None:
        """Return a request by its placement id."""
        return self._by_id.get(request_id)

    def first_by_avoided(self, count: int, sets: int) -> list[WaitingRequest]:
        """Return the first ``count`` requests of each set of replicas to avoid.

        Only requests of the first ``sets`` such sets are returned, in their order.
        """
        found = []
        counts: Counter[tuple[str, ...]] = Counter()
        for item in self._items:
            avoided = item.request.avoid
            if avoided not in counts and len(counts) == sets:
                continue
            counts[avoided] += 1
            if counts[avoided] <= count:
                found.append(item)
        return found

    def ahead_of(self, waiting: WaitingRequest) -> list[WaitingRequest]:
        """Return the requests that are placed before a request."""
        return [item for item in self._items if item.rank < waiting.rank]

    def cancel(self, request_id: str) -> None:
        """Remove a request by its placement id, if it is queued."""
        waiting = self.find(request_id)
        if waiting is not None:
            self.remove(waiting)

    def drop_abandoned(self, now: float) -> None:
        """Remove requests whose daemon has stopped polling."""
        for item in [item for item in self._items if item.is_abandoned(now)]:
            self.remove(item)

    def overdue(self, now: float) -> list[WaitingRequest]:
        """Return the requests whose deadline is not after ``now``."""
        return [item for item in self._items if now >= item.deadline]


def _rank_of(waiting: WaitingRequest) -> Rank:
    return waiting.rank
