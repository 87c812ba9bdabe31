"""Tests of the bench: scenario files, and short runs with and without faults."""

from dataclasses import replace
from pathlib import Path

import async_solipsism
import pytest

from bench.runner import ScenarioRun
from bench.scenario import Fault, load_scenario

SCENARIOS = sorted((Path(__file__).parents[2] / "bench" / "scenarios").glob("*.yaml"))
SHORT_S = 12.0
TARGET_GOODPUT = 0.95
TARGET_WASTE_WITHOUT_FAULTS = 0.01


def run(scenario, policy="reservation", seed=3):
    """Run a scenario on a paused clock."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(ScenarioRun(scenario, policy, seed).run())
    finally:
        loop.close()


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_every_scenario_is_well_formed(path):
    assert load_scenario(path).is_ok()


def test_an_unknown_key_is_reported_with_its_line(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text(SCENARIOS[0].read_text() + "\nlaod: 3\n")
    (error,) = load_scenario(path).unwrap_err()
    assert error.path == "laod"
    assert error.line > 1


def test_runs_with_one_seed_have_the_same_result():
    scenario = replace(load_scenario(SCENARIOS[1]).unwrap(), duration_s=SHORT_S)
    first, second = run(scenario), run(scenario)
    for result in (first, second):
        del result["cpu_s_per_request"]
    assert first == second


def test_work_in_time_is_answered_and_late_work_completes_under_overload():
    (path,) = (path for path in SCENARIOS if path.stem == "gyeol-overload")
    scenario = replace(load_scenario(path).unwrap(), duration_s=SHORT_S)
    result = run(scenario)
    assert result["goodput"] >= TARGET_GOODPUT * result["goodput_bound"]
    assert result["wasted_prefill"] <= TARGET_WASTE_WITHOUT_FAULTS
    assert result["late_whole"] == 1.0
    assert result["held_at_end"] == 0


def test_answers_are_complete_and_engines_empty_after_faults():
    (path,) = (path for path in SCENARIOS if path.stem == "gyeol-peak")
    faults = (Fault("lose_decode", 5.0, 2.0), Fault("lose_prefill", 7.0, 1.0))
    scenario = load_scenario(path).unwrap()
    scenario = replace(scenario, duration_s=SHORT_S, load=0.5, faults=faults)
    result = run(scenario)
    assert result["late_whole"] == 1.0
    assert result["broken"] == {}
    assert result["held_at_end"] == 0
