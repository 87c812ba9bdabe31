"""Runs a scenario: ``python -m bench --scenario FILE --policy NAME --seed N``."""

import json
import logging
from pathlib import Path
from typing import Annotated, Any

import async_solipsism
import typer

from bench.runner import ScenarioRun
from bench.scenario import load_scenario

BAD_SCENARIO_EXIT = 2


def run_scenario(path: Path, policy: str, seed: int) -> dict[str, Any]:
    """Run a scenario file and return its result."""
    loaded = load_scenario(path)
    if loaded.is_err():
        for error in loaded.unwrap_err():
            typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(BAD_SCENARIO_EXIT)
    loop = async_solipsism.EventLoop()
    try:
        run = ScenarioRun(loaded.unwrap(), policy, seed)
        return loop.run_until_complete(run.run())
    finally:
        loop.close()


def main(
    scenario: Annotated[Path, typer.Option(help="Scenario file.")],
    policy: Annotated[str, typer.Option(help="Routing policy.")] = "reservation",
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Run a scenario on a paused clock."""
    logging.disable(logging.CRITICAL)
    result = {"scenario": scenario.stem, **run_scenario(scenario, policy, seed)}
    if as_json:
        typer.echo(json.dumps(result))
        return
    for name, value in result.items():
        typer.echo(f"{name}: {value}")


if __name__ == "__main__":
    typer.run(main)
