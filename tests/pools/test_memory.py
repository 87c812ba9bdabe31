"""Memory of generations: prepared answers agree with the plain computation."""

from hypothesis import given, strategies as st

from marjoramstile.pools.memory import Generation, GenerationGroup, peak_tokens

GENERATIONS = st.builds(
    Generation, st.integers(0, 9000), st.integers(0, 900), st.integers(0, 900)
)


@given(st.lists(GENERATIONS, max_size=9), GENERATIONS)
def test_the_peak_with_one_more_is_that_of_all_together(generations, added):
    group = GenerationGroup(generations)
    assert group.peak_with(added) == peak_tokens([*generations, added])


@given(st.lists(GENERATIONS, max_size=9), st.integers(0, 900))
def test_after_some_tokens_those_that_remain_have_grown(generations, tokens):
    later = GenerationGroup(generations).after(tokens)
    running = [item for item in generations if item.remaining > tokens]
    assert later.size == len(running)
    assert later.tokens == sum(item.tokens + tokens for item in running)
    assert later.ends == sorted(item.remaining - tokens for item in running)
