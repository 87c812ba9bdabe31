"""Answers that slow callers don't take stay within the memory for them."""

from dataclasses import dataclass

from hypothesis import given, strategies as st

from marjoramstile.fronts.unsent import UnsentLimit, slowest_beyond

SIZES = st.lists(st.integers(0, 70_000), max_size=40)


@given(SIZES, st.integers(0, 500_000))
def test_what_is_left_fits_and_no_caller_is_cut_needlessly(sizes, max_bytes):
    chosen = slowest_beyond(sizes, max_bytes)
    left = sum(sizes) - sum(sizes[index] for index in chosen)
    assert left <= max_bytes
    if chosen:
        assert left + sizes[chosen[-1]] > max_bytes


@given(SIZES, st.integers(0, 500_000))
def test_the_slowest_callers_are_cut_first(sizes, max_bytes):
    chosen = set(slowest_beyond(sizes, max_bytes))
    kept = [size for index, size in enumerate(sizes) if index not in chosen]
    assert all(sizes[index] >= max(kept, default=0) for index in chosen)


@dataclass
class FakeConnection:
    """A connection with unsent bytes."""

    unsent_bytes: int
    is_cut: bool = False

    def cut_off_slow(self) -> None:
        """Record the cut."""
        self.is_cut = True


def test_only_the_slow_caller_is_cut():
    cuts = []
    limit = UnsentLimit(100, lambda: cuts.append(1))
    connections = [FakeConnection(size) for size in (30, 90, 0)]
    limit.check(connections)
    assert [item.is_cut for item in connections] == [False, True, False]
    assert (len(cuts), limit.unsent) == (1, 120)
