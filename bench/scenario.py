"""Scenario files: sizes, load, lengths, lags and faults; unknown keys are errors."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter
from result import Result

from bench.fakes.engines import EngineModel
from marjoramstile.settings import SettingsError, parse_yaml

_STRICT = ConfigDict(extra="forbid")
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(gt=0)]


@dataclass(frozen=True)
class Lengths:
    """Log-normal lengths in tokens: the median and the spread of the logarithm."""

    __pydantic_config__ = _STRICT
    median: Count
    spread: Annotated[float, Field(ge=0)]
    maximum: Count


@dataclass(frozen=True)
class TrafficClass:
    """A class of traffic; ``share`` is its relative weight among the requests."""

    __pydantic_config__ = _STRICT
    service: Literal["desk", "essay"]
    share: Positive
    prompt: Lengths
    output: Lengths


@dataclass(frozen=True)
class Fault:
    """A fault that lasts ``for_s`` and recurs ``every_s`` after it has ended."""

    __pydantic_config__ = _STRICT
    kind: Literal["lose_decode", "lose_prefill", "stall_decode"]
    every_s: Positive
    for_s: Positive


@dataclass(frozen=True)
class EngineNumbers:
    """Speed and size of the engines."""

    __pydantic_config__ = _STRICT
    slots: Count = 20
    pieces: Count = 120
    tokens_per_s: Positive = 20_000.0
    step_s: Positive = 0.025
    step_per_request_s: Annotated[float, Field(ge=0)] = 0.001
    export_life_s: Positive = 0.9
    link_bytes_per_s: Positive = 12.5e9
    load_lag_s: Annotated[float, Field(ge=0)] = 0.5

    def to_model(self) -> EngineModel:
        """Return the fake engines' model."""
        return EngineModel(**vars(self))


@dataclass(frozen=True)
class Scenario:
    """One scenario; ``load`` is the offered work divided by the engines' capacity."""

    __pydantic_config__ = _STRICT
    daemons: Count
    prefills: Count
    decodes: Count
    duration_s: Positive
    load: Positive
    classes: Annotated[tuple[TrafficClass, ...], Field(min_length=1)]
    late_limit_s: Positive = 60.0
    engines: EngineNumbers = EngineNumbers()
    faults: tuple[Fault, ...] = field(default_factory=tuple)


_ADAPTER = TypeAdapter(Scenario)


def load_scenario(path: Path) -> Result[Scenario, list[SettingsError]]:
    """Read and validate a scenario file."""
    return parse_yaml(path.read_text(), _ADAPTER, {})
