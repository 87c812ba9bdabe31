"""The report of a check of a configuration file."""

from dataclasses import asdict, dataclass
from typing import Any

from marjoramstile.platform.configuration_check import (
    Difference,
    Finding,
    differences,
    order_findings,
    read_configuration,
    warnings_of,
)


@dataclass(frozen=True)
class CheckReport:
    """What was found in a file, and how it differs from the version in force."""

    errors: tuple[Finding, ...]
    warnings: tuple[Finding, ...] = ()
    differences: tuple[Difference, ...] = ()

    def to_body(self) -> dict[str, Any]:
        """Return the report for output as JSON."""
        return asdict(self)

    def to_text(self, name: str) -> str:
        """Return the report as text, a line a finding."""
        lines = [f"{name}: error: {item}" for item in self.errors]
        lines += [f"{name}: warning: {item}" for item in self.warnings]
        lines += [str(item) for item in self.differences]
        return "\n".join(lines or [f"{name}: good"])


def check_file(value: bytes, in_force: bytes | None) -> CheckReport:
    """Check a configuration, and compare it with the one in force, if it is given."""
    configuration, errors = read_configuration(value)
    before = None
    if in_force is not None:
        before, faults = read_configuration(in_force)
        errors += [
            Finding(item.path, f"in the version in force: {item.message}")
            for item in faults
        ]
    if configuration is None:
        return CheckReport(tuple(errors))
    warnings = tuple(warnings_of(configuration))
    if before is None:
        return CheckReport(tuple(errors), warnings)
    errors += order_findings(before, configuration)
    found = differences(before, configuration)
    return CheckReport(tuple(errors), warnings, tuple(found))
