"""Checks of a soak's guarantees; each returns the violations that it found."""

import asyncio
from collections import Counter

from aiohttp import ClientSession

from demo.published_fleet import HOST_NAME, PublishedFleet
from soak.callers import CUT, KINDS, Callers

# Time in which what callers have left is freed.
FREE_S = 2.5
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Kinds that callers retry after an answer that says that nothing was executed.
RETRIED_KINDS = ("book", "completion")


async def check_recovery(
    fleet: PublishedFleet,
    callers: Callers,
    replicas: int,
    version: int,
    settle_s: float,
) -> list[str]:
    """Check that after the faults all daemons serve and nothing is held.

    A part that has crashed replicas stays refused for a while.
    """
    callers.deadly_share = 0.0
    try:
        async with asyncio.timeout(settle_s):
            for number in range(1, callers.daemons + 1):
                await fleet.wait_for_ready(number)
            await fleet.wait_for_replicas(replicas)
    except TimeoutError:
        return ["a daemon is not ready after the faults"]
    await asyncio.sleep(FREE_S)
    violations = []
    async with ClientSession() as session:
        for number in range(1, callers.daemons + 1):
            front = fleet.front(number)
            for kind in KINDS:
                outcome = await callers.call(session, front, kind)
                if outcome.status != 200 or not outcome.good:
                    violations.append(f"not served after the faults: {outcome}")
            if not await _has_version(session, front, version):
                violations.append(f"{front} lacks version {version}")
    for name in fleet.replicas:
        held = await fleet.runs(name)
        if held["running"] or held["tokens"]:
            violations.append(f"{name} still holds {held}")
    return violations


async def _has_version(session: ClientSession, front: str, version: int) -> bool:
    if version == 1:
        return True
    headers = {"Host": HOST_NAME, "X-Request-Id": f"v{version}{front}"}
    url = f"http://{front}/v{version}/look/x"
    async with session.get(url, headers=headers) as response:
        return response.status != 404


def check_outcomes(
    callers: Callers, runs: Counter[str], planned: bool = False
) -> list[str]:
    """Check the answers of all requests, and that planned work cut none."""
    violations = []
    for outcome in callers.outcomes:
        ran = runs[outcome.id]
        if not outcome.good:
            violations.append(
                f"status 200 with a wrong or incomplete answer: {outcome}"
            )
        if outcome.kind == "book" and ran > 1:
            violations.append(f"executed {ran} times: {outcome}")
        if (
            outcome.kind in RETRIED_KINDS
            and outcome.status in NOT_EXECUTED_STATUSES
            and ran
        ):
            violations.append(f"executed, but answered as not executed: {outcome}")
        if planned and outcome.status in (CUT, 502, 504):
            violations.append(f"interrupted by planned work: {outcome}")
    return violations
