"""Runs the demonstration: ``python -m demo`` (or ``make demo``)."""

import asyncio
import json
import os
import subprocess
import sys
from typing import Any

from demo.fleet import OPERATOR_TOKEN, WORKSPACE_KEY, Fleet, own_network
from demo.published import demonstrate
from standins.tokens import answer_text

DAEMONS = (1, 2, 3)
PREFILLS = 2
DECODES = 2
PROMPT = "Write an estimate for a bouzouki neck reset."
TOKENS = 24
HEADERS = {"Authorization": f"Bearer {WORKSPACE_KEY}"}


class Demonstration:
    """Runs the steps, prints what each returned, and collects the failed ones."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._failures: list[str] = []

    @property
    def failures(self) -> list[str]:
        """Names of the steps that returned something wrong."""
        return self._failures

    def _check(self, step: str, shown: Any, good: bool) -> None:
        print(f"{'ok  ' if good else 'BAD '} {step}: {shown}", flush=True)
        if not good:
            self._failures.append(step)

    async def start(self) -> None:
        """Start all processes and configure them."""
        await self._fleet.start_all(DAEMONS, PREFILLS, DECODES)
        answer = await self._fleet.state(1, "show services")
        self._check("services configured", len(answer["rows"]), bool(answer["rows"]))

    async def stream(self) -> None:
        """Request a streamed completion."""
        text = ""
        ended = False
        url = f"{self._fleet.callers_url(1)}/v1/completions"
        async with self._fleet.session.post(
            url, json=_body(stream=True), headers=HEADERS
        ) as response:
            async for line in response.content:
                if line.startswith(b"data: [DONE]"):
                    ended = True
                elif line.startswith(b"data: "):
                    choices = json.loads(line[6:]).get("choices", [])
                    text += "".join(choice["text"] for choice in choices)
        whole = ended and text == answer_text(PROMPT, TOKENS)
        self._check("streamed completion", text, whole)

    async def complete(self) -> None:
        """Request a completion in one response, from another daemon."""
        url = f"{self._fleet.callers_url(2)}/v1/completions"
        async with self._fleet.session.post(
            url, json=_body(stream=False), headers=HEADERS
        ) as response:
            body = await response.json()
        text = body.get("choices", [{}])[0].get("text", body)
        self._check(
            "completion in one response", text, text == answer_text(PROMPT, TOKENS)
        )

    async def book_twice(self) -> None:
        """Send a booking twice with the same idempotency key, through two daemons."""
        headers = {**HEADERS, "Idempotency-Key": "fret-dress-1"}
        answers = []
        for number in (1, 3):
            url = f"{self._fleet.callers_url(number)}/v1/services/pagkos-app/bookings"
            async with self._fleet.session.post(
                url, json={"slot": "fret dress"}, headers=headers
            ) as response:
                answers.append(await response.json())
            await self._wait_until_done()
        counted = await self._fleet.control(self._fleet.service_url(1))
        executed = counted["executions"].get("fret-dress-1")
        good = executed == 1 and answers[0] == answers[1]
        self._check("booking sent twice", f"{answers[1]}, executed {executed}", good)

    async def _wait_until_done(self) -> None:
        """Wait until a third daemon reports the booking as done."""
        url = f"{self._fleet.callers_url(2)}/v1/requests/fret-dress-1"

        async def is_done() -> bool:
            async with self._fleet.session.get(url, headers=HEADERS) as response:
                return (await response.json()).get("state") == "done"

        await self._fleet.wait_until(is_done)

    async def request_addresses(self) -> None:
        """Request the addresses that callers should use."""
        url = f"{self._fleet.callers_url(1)}/v1/addresses?data_centre=gr-north-b"
        async with self._fleet.session.get(url, headers=HEADERS) as response:
            body = await response.json()
        good = len(body.get("addresses", ())) == len(DAEMONS) and body["ttl_s"] > 0
        self._check("addresses to use", body, good)

    def query_as_operator(self) -> None:
        """Run a query with the operators' command-line tool."""
        command = [
            sys.executable,
            "-m",
            "marjoramstile",
            "run",
            "show daemons order by daemon",
            f"--daemon={self._fleet.operators_address(3)}",
        ]
        environment = {**os.environ, "MARJORAMSTILE_TOKEN": OPERATOR_TOKEN}
        done = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=False
        )
        good = done.returncode == 0 and all(f"vm-{n}" in done.stdout for n in DAEMONS)
        self._check("operator's query", "\n" + done.stdout + done.stderr, good)


def _body(stream: bool) -> dict[str, Any]:
    return {
        "model": "lexis-pool",
        "prompt": PROMPT,
        "max_tokens": TOKENS,
        "stream": stream,
    }


async def run_demonstration() -> int:
    """Run all steps; return the exit code."""
    async with Fleet(own_network()) as fleet:
        demonstration = Demonstration(fleet)
        await demonstration.start()
        await demonstration.stream()
        await demonstration.complete()
        await demonstration.book_twice()
        await demonstration.request_addresses()
        demonstration.query_as_operator()
    failures = demonstration.failures + await demonstrate()
    if failures:
        print(f"failed: {', '.join(failures)}")
        return 1
    print("all steps returned what they should")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demonstration()))
