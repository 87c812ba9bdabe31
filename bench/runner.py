"""Runs a scenario with real daemons, fake engines and well-behaved callers."""

import asyncio
import random
import time
from collections import Counter
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from bench.harness import Harness, add_services
from bench.load import Arrival, arrivals, capacity_per_s
from bench.scenario import Fault, Scenario
from marjoramstile.configuration.documents import ServiceClass
from marjoramstile.entry.measuring import meets_targets
from marjoramstile.node import Node
from marjoramstile.requests.attempts import CompletionRequest
from marjoramstile.results import RequestFailedError
from marjoramstile.utils import loop_time
from standins.tokens import answer_text

JOIN_S = 3.0
DRAIN_S = 30.0


@dataclass
class Tally:
    """Outcomes of the requests by service class, and refusals by error code."""

    offered: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    whole: Counter[str] = field(default_factory=Counter)
    broken: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)


class ScenarioRun:
    """One run of a scenario with one policy and one seed."""

    def __init__(self, scenario: Scenario, policy: str, seed: int):
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        self._rng = random.Random(seed)
        self._harness = Harness(seed)
        self._tally = Tally()

    async def run(self) -> dict[str, Any]:
        """Run the scenario and return its result."""
        await self._start()
        started = time.process_time()
        callers = []
        faults = [
            asyncio.create_task(self._repeat_fault(f)) for f in self._scenario.faults
        ]
        started_at = loop_time()
        for arrival in arrivals(self._scenario, self._rng):
            await asyncio.sleep(max(0.0, started_at + arrival.at_s - loop_time()))
            callers.append(asyncio.create_task(self._call(arrival)))
        await asyncio.gather(*callers)
        for task in faults:
            task.cancel()
        await asyncio.sleep(DRAIN_S)
        held = self._harness.engines.held_by("")
        result = self._result(time.process_time() - started, len(held))
        await self._harness.close()
        return result

    async def _start(self) -> None:
        scenario = self._scenario
        harness = self._harness
        harness.list_vms(scenario.daemons)
        for number in range(1, scenario.daemons + 1):
            await harness.start(number)
        document = harness.add_engines(
            scenario.prefills, scenario.decodes, scenario.engines.to_model()
        )
        add_services(document)
        for service in document["language_services"].values():
            service["policy"] = self._policy
            service["late_limit_s"] = scenario.late_limit_s
        document["limits"] = {"workspace_requests": 100_000}
        await harness.configure(document)
        await asyncio.sleep(JOIN_S)

    async def _call(self, arrival: Arrival) -> None:
        """Act as a caller: retry late work after the given delay, and no other work."""
        node = self._rng.choice(list(self._harness.nodes.values()))
        request = _to_request(node, arrival)
        service_class = str(request.service.service_class)
        self._tally.offered[service_class] += 1
        deadline = request.received_at + self._scenario.late_limit_s
        while True:
            try:
                await self._run_once(node, request, service_class)
                return
            except RequestFailedError as error:
                self._tally.refusals[error.failure.code.name.lower()] += 1
                retry_s = error.failure.retry_after_s
            late = request.service.service_class == ServiceClass.LATE
            if not late or retry_s is None or loop_time() + retry_s >= deadline:
                return
            await asyncio.sleep(retry_s)

    async def _run_once(
        self, node: Node, request: CompletionRequest, service_class: str
    ) -> None:
        times: list[float] = []
        texts: list[str] = []
        running = node.completions.run(request, node.keeper.configuration)
        try:
            async with aclosing(running) as tokens:
                async for token in tokens:
                    times.append(loop_time())
                    texts.append(token.text)
        except RequestFailedError:
            if times:
                self._tally.broken[service_class] += 1
            raise
        if "".join(texts) != answer_text(request.prompt, request.max_tokens):
            self._tally.broken[service_class] += 1
            return
        self._tally.whole[service_class] += 1
        good = meets_targets(request.service, request.received_at, times)
        self._tally.good[service_class] += good

    async def _repeat_fault(self, fault: Fault) -> None:
        while True:
            await asyncio.sleep(fault.every_s)
            prefix = "http://10.0.8." if "prefill" in fault.kind else "http://10.0.9."
            engines = [
                engine
                for url, engine in self._harness.engines.engines.items()
                if url.startswith(prefix)
            ]
            engine = self._rng.choice(engines)
            if fault.kind == "stall_decode":
                engine.stalled = True
            else:
                engine.crash()
            await asyncio.sleep(fault.for_s)
            engine.stalled = False
            engine.restart()

    def _result(self, cpu_s: float, held: int) -> dict[str, Any]:
        tally = self._tally
        offered = sum(tally.offered.values())
        waste = self._harness.engines.waste
        wasted = sum(waste.wasted.values())
        late = str(ServiceClass.LATE)
        return {
            "policy": self._policy,
            "seed": self._seed,
            "offered": offered,
            "goodput": _share(sum(tally.good.values()), offered),
            "goodput_bound": self._goodput_bound(),
            "goodput_by_class": {
                name: _share(tally.good[name], count)
                for name, count in sorted(tally.offered.items())
            },
            "late_whole": _share(tally.whole[late], tally.offered[late]),
            "broken": dict(tally.broken),
            "wasted_prefill": _share(wasted, waste.prefilled),
            "wasted_by_cause": dict(waste.wasted),
            "refusals": dict(tally.refusals),
            "held_at_end": held,
            "messages_per_request": round(self._harness.network.messages / offered, 2),
            "cpu_s_per_request": round(cpu_s / offered, 6),
            "capacity_per_s": round(capacity_per_s(self._scenario), 3),
        }

    def _goodput_bound(self) -> float:
        """Return the share of the offered requests that the engines can serve.

        Late work can still be served for ``late_limit_s`` after the load has ended.
        """
        scenario = self._scenario
        late = sum(p.share for p in scenario.classes if p.service == "essay")
        late /= sum(p.share for p in scenario.classes)
        in_time = min(1 - late, 1 / scenario.load)
        rest = 1 / scenario.load - in_time
        after = scenario.late_limit_s / scenario.duration_s / scenario.load
        return round(in_time + min(late, rest + after), 4)


def _to_request(node: Node, arrival: Arrival) -> CompletionRequest:
    configuration = node.keeper.configuration
    return CompletionRequest(
        request_id=f"b{arrival.number}",
        workspace="first" if arrival.number % 2 else "second",
        share=1,
        service_name=arrival.service,
        service=configuration.language_services[arrival.service],
        prompt=arrival.prompt,
        max_tokens=arrival.output_tokens,
        received_at=loop_time(),
    )


def _share(part: int, whole: int) -> float:
    return round(part / whole, 4) if whole else 1.0
