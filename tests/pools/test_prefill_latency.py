"""The latency of prefills is told from their replicas' speed."""

import random
from dataclasses import replace

import pytest

from marjoramstile.pools.prefill_latency import PrefillLatency
from tests.pools.support import Pool, request

TOKENS_PER_S = 33_333.0


def learned(latency_s: float, prompts: list[int], noise_s: float = 0.0) -> float:
    """Return the latency after one prefill of each prompt, 20 a second."""
    rng = random.Random(1)
    latency = PrefillLatency()
    for number, tokens in enumerate(prompts):
        seconds = latency_s + tokens / TOKENS_PER_S + rng.uniform(0.0, noise_s)
        latency.observe(tokens, seconds, number / 20)
    return latency.latency_s


def mixed_prompts(count: int) -> list[int]:
    """Return prompts of mixed lengths."""
    rng = random.Random(2)
    return [round(3000 * rng.lognormvariate(0.0, 0.5)) for _ in range(count)]


@pytest.mark.parametrize("noise_s", [0.0, 0.02])
def test_the_latency_is_told_from_the_speed(noise_s):
    assert learned(0.061, mixed_prompts(60), noise_s) == pytest.approx(0.07, abs=0.015)


@pytest.mark.parametrize(
    "seconds",
    [learned(0.061, mixed_prompts(10)), learned(0.01, mixed_prompts(60))],
    ids=["few prefills", "short latency"],
)
def test_what_is_not_certain_counts_as_no_latency(seconds):
    assert seconds == 0.0


def test_prompts_of_one_length_tell_no_latency():
    assert learned(0.061, [3000] * 60) == 0.0


def play_prompts(latency_s: float) -> tuple[Pool, list[int]]:
    """Play one prompt after the other on a pool; return it and the prompts."""
    pool = Pool(prefill=1, decode=8)
    prompts = mixed_prompts(120)
    for number, tokens in enumerate(prompts):
        asked = request(f"q{number}", prompt_tokens=tokens)
        grant = pool.ask(asked)
        pool.wait(0.5)
        took_s = latency_s + tokens / TOKENS_PER_S
        usage = replace(pool.usage(asked, grant, 800), prefill_s=took_s)
        lease = pool.scheduler.leases.get(grant.id)
        pool.scheduler._estimator.observe_usage(lease, usage, pool.now)
        pool.end(asked, grant)
    return pool, prompts


def test_the_next_prompt_need_not_wait_for_the_latency_of_the_last_one():
    """Counted as work, 61 ms a prompt made 16 replicas seem as slow as 10."""
    pool, _ = play_prompts(latency_s=0.061)
    assert pool.scheduler.statistics.prefill_tokens_per_s > 30_000
    grant = pool.ask(request("next", prompt_tokens=6600))
    assert grant.prefill is not None
    busy_s = pool.scheduler.pool_snapshot(pool.now).prefill[0].busy_s
    assert busy_s == pytest.approx(6600 / TOKENS_PER_S, rel=0.1)


def test_long_prompts_at_fast_replicas_are_no_latency():
    """Their durations grow less with the prompts than those of one replica."""
    latency = PrefillLatency()
    for number, tokens in enumerate(sorted(mixed_prompts(200))):
        speed = 1.2 if number > 100 else 0.55
        seconds = 0.01 + tokens / (TOKENS_PER_S * speed)
        latency.observe(tokens / speed, seconds, number / 50)
    assert latency.latency_s == 0.0


def test_prefills_of_replicas_in_trouble_are_no_latency():
    latency = PrefillLatency()
    rng = random.Random(3)
    for number, tokens in enumerate(mixed_prompts(200)):
        factor = 5.0 if number > 40 and rng.random() < 0.15 else 1.0
        latency.observe(tokens, factor * (0.01 + tokens / TOKENS_PER_S), number / 50)
    assert latency.latency_s == 0.0
