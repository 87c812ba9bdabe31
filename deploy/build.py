"""Builds what the routing daemon needs: its libraries in target/deps, and bytecode.

The libraries are installed into a new folder beside target/deps and take its place
only when the daemon can be imported with them. Exits with 1, and says which step
failed, if the daemon could not be started afterwards. Needs Python and pip alone.
"""

import compileall
import fcntl
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PACKAGE = ROOT / "marjoramstile"
TARGET = ROOT / "target"
LIBRARIES = TARGET / "deps"
LOCK = TARGET / ".build.lock"
STAMP_NAME = "build-stamp.json"
NEW_LIBRARIES = TARGET / "deps.new"
OLD_LIBRARIES = TARGET / "deps.old"
PIP_TIMEOUT_S = 720
IMPORT_TIMEOUT_S = 60
# Run with nothing else on the path than the standard library, sys.argv[1:] first.
IMPORT_CHECK = """
import sys
sys.path[:0] = sys.argv[1:]
from marjoramstile.platform import daemon
daemon.create_loop().close()
"""


class BuildError(Exception):
    """A step of the build failed."""


@dataclass(frozen=True)
class Stamp:
    """What a folder of libraries was installed for; written when it is whole."""

    python: str
    processor: str
    requirements: str

    @classmethod
    def wanted(cls) -> "Stamp":
        """Return the stamp of this interpreter, processor and requirements."""
        return cls(
            python=str(sysconfig.get_config_var("SOABI")),
            processor=platform.machine(),
            requirements=hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest(),
        )

    @classmethod
    def of(cls, folder: Path) -> "Stamp | None":
        """Return a folder's stamp; None if it has none that can be read."""
        try:
            return cls(**json.loads((folder / STAMP_NAME).read_text()))
        except (OSError, TypeError, ValueError):
            return None

    def runs_like(self, other: "Stamp") -> bool:
        """Return whether both are for the same interpreter and processor."""
        return (self.python, self.processor) == (other.python, other.processor)

    def write(self, folder: Path) -> None:
        """Write the stamp into a folder."""
        (folder / STAMP_NAME).write_text(json.dumps(asdict(self)))


def build() -> None:
    """Compile the package, and install the libraries unless they are up to date."""
    TARGET.mkdir(exist_ok=True)
    with _lock():
        _compile_package()
        _bring_up_to_date()


@contextmanager
def _lock() -> Iterator[None]:
    """Let one build run at a time; the lock ends with the process."""
    with LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def _compile_package() -> None:
    if not compileall.compile_dir(PACKAGE, quiet=1):
        raise BuildError(f"compiling {PACKAGE.name} failed")


def _bring_up_to_date() -> None:
    """Install the libraries unless those that are there can be used.

    Whole libraries for other requirements stay until the new ones are installed.
    """
    wanted = Stamp.wanted()
    found = Stamp.of(LIBRARIES)
    if found == wanted:
        try:
            return _check_import(LIBRARIES)
        except BuildError as error:
            print(f"build: installing again: {error}", file=sys.stderr)
    if found is None or not found.runs_like(wanted):
        _remove_libraries()
    return _install(wanted)


def _install(stamp: Stamp) -> None:
    """Install the libraries into a new folder, check them, and put them in place."""
    _remove(NEW_LIBRARIES)
    try:
        _run_pip(NEW_LIBRARIES)
        _check_import(NEW_LIBRARIES)
        stamp.write(NEW_LIBRARIES)
        _remove_libraries()
        NEW_LIBRARIES.rename(LIBRARIES)
    finally:
        _remove(NEW_LIBRARIES)


def _run_pip(folder: Path) -> None:
    command = [
        *(sys.executable, "-m", "pip", "install", "--quiet", "--no-input"),
        *("--only-binary", ":all:", "--target", str(folder)),
        *("--requirement", str(REQUIREMENTS)),
    ]
    # Libraries of an earlier build must not disturb pip.
    environment = {**os.environ}
    environment.pop("PYTHONPATH", None)
    _run("pip install", command, PIP_TIMEOUT_S, environment)


def _check_import(folder: Path) -> None:
    """Import the daemon in a new interpreter, without any other libraries."""
    options = ["-S", "-s", "-E", "-c", IMPORT_CHECK]
    command = [sys.executable, *options, str(ROOT), str(folder)]
    _run(f"importing the daemon with {folder.name}", command, IMPORT_TIMEOUT_S)


def _run(
    step: str,
    command: list[str],
    timeout_s: float,
    environment: dict[str, str] | None = None,
) -> None:
    """Run a command at the root; raises BuildError unless it exits with 0 in time."""
    try:
        done = subprocess.run(
            command, cwd=ROOT, env=environment, timeout=timeout_s, check=False
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise BuildError(f"{step} failed: {error}") from error
    if done.returncode != 0:
        raise BuildError(f"{step} failed with exit code {done.returncode}")


def _remove_libraries() -> None:
    """Remove the installed libraries; they are never there in part."""
    _remove(OLD_LIBRARIES)
    if os.path.lexists(LIBRARIES):
        LIBRARIES.rename(OLD_LIBRARIES)
    _remove(OLD_LIBRARIES)


def _remove(path: Path) -> None:
    """Remove a folder, or a file or link in its place, if it exists."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


def main() -> int:
    """Build; return the exit code."""
    try:
        build()
    except (BuildError, OSError) as error:
        print(f"build: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
