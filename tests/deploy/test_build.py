"""The build command of the deploy file, in a small project with wheels of its own."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tarfile
import time
import tomllib
import zipfile
from pathlib import Path

import pytest

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
LIMIT_S = 60.0
POLL_S = 0.02
DAEMON = '''"""Imports a library as the daemon does."""
import asyncio
import plumbing


def create_loop():
    return asyncio.new_event_loop()
'''
# Says that the import has begun, and goes on when it may.
WAITING_DAEMON = f'''"""Waits while it is imported."""
import time
from pathlib import Path

Path("importing").touch()
while not Path("go-on").exists():
    time.sleep({POLL_S})
{DAEMON}'''
METADATA = "Metadata-Version: 2.1\nName: plumbing\nVersion: {}\n"
WHEEL = "Wheel-Version: 1.0\nGenerator: test\nRoot-Is-Purelib: true\nTag: py3-none-any"


class Project:
    """A clone of a small project: its deploy folder, a package and wheels."""

    def __init__(self, root: Path):
        self.root = root
        self.libraries = root / "target" / "deps"
        self.wheels = root.parent / "wheels"
        self.wheels.mkdir()
        self._processes: list[subprocess.Popen] = []
        shutil.copytree(DEPLOY, root / "deploy")
        self.require("1.0")
        self.write_daemon(DAEMON)

    def require(self, version: str) -> None:
        """Require a version of the library."""
        path = self.root / "deploy" / "requirements.txt"
        path.write_text(f"plumbing=={version}\n")

    def write_daemon(self, source: str) -> None:
        """Write the module that the build must be able to import."""
        folder = self.root / "marjoramstile" / "platform"
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "__init__.py").touch()
        (folder.parent / "__init__.py").touch()
        (folder / "daemon.py").write_text(source)

    def add_wheel(self, version: str, module: str = "plumbing") -> None:
        """Offer a wheel that holds one module."""
        info = f"plumbing-{version}.dist-info"
        path = self.wheels / f"plumbing-{version}-py3-none-any.whl"
        with zipfile.ZipFile(path, "w") as wheel:
            wheel.writestr(f"{module}.py", f"VERSION = {version!r}\n")
            wheel.writestr(f"{info}/METADATA", METADATA.format(version))
            wheel.writestr(f"{info}/WHEEL", WHEEL)
            wheel.writestr(f"{info}/RECORD", "")

    def add_source_distribution(self, version: str) -> None:
        """Offer a source distribution, which would have to be built first."""
        folder = self.wheels.parent / f"plumbing-{version}"
        folder.mkdir()
        setup = "from setuptools import setup\nsetup(name='plumbing', version='{}', {})"
        module = "py_modules=['plumbing']"
        (folder / "setup.py").write_text(setup.format(version, module))
        (folder / "plumbing.py").write_text(f"VERSION = {version!r}\n")
        (folder / "PKG-INFO").write_text(METADATA.format(version))
        with tarfile.open(self.wheels / f"plumbing-{version}.tar.gz", "w:gz") as file:
            file.add(folder, folder.name)

    def start_build(self) -> subprocess.Popen:
        """Start the build command as the platform does, in a group of its own."""
        with (self.root / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["build"]
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("PIP_", "PYTHON"))
        }
        environment |= {
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(self.wheels),
            "PIP_DISABLE_PIP_VERSION_CHECK": "1",
        }
        process = subprocess.Popen(
            ["sh", "-c", command],
            cwd=self.root,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        self._processes.append(process)
        return process

    def end_builds(self) -> None:
        """Kill the builds that still run, after a failed test."""
        for process in self._processes:
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)

    def build(self) -> tuple[int, str]:
        """Run the build; return its exit code and output."""
        process = self.start_build()
        output, _ = process.communicate(timeout=LIMIT_S)
        return process.returncode, output

    def installed_version(self) -> str:
        """Return the version of the installed library; empty if there is none."""
        path = self.libraries / "plumbing.py"
        return path.read_text().split("'")[1] if path.exists() else ""

    def change_stamp(self, **fields: str) -> None:
        """Change what the installed libraries were installed for."""
        path = self.libraries / "build-stamp.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), **fields}))


@pytest.fixture
def project(tmp_path):
    """A clean clone with a wheel of version 1.0."""
    project = Project(tmp_path / "clone")
    project.add_wheel("1.0")
    yield project
    project.end_builds()


def wait_for(path: Path) -> None:
    """Wait until a file exists."""
    until = time.monotonic() + LIMIT_S
    while not path.exists():
        assert time.monotonic() < until
        time.sleep(POLL_S)


def test_a_build_installs_the_libraries_once(project):
    assert project.build() == (0, "")
    assert project.installed_version() == "1.0"
    number = project.libraries.stat().st_ino
    assert project.build() == (0, "")
    assert project.libraries.stat().st_ino == number


def test_a_build_whose_install_fails_says_so(project):
    project.require("2.0")
    code, output = project.build()
    assert code != 0
    assert "pip install failed" in output
    assert not project.libraries.exists()


def test_a_build_does_not_compile_libraries(project):
    project.require("2.0")
    project.add_source_distribution("2.0")
    code, output = project.build()
    assert code != 0
    assert "pip install failed" in output
    assert not project.libraries.exists()


def test_a_build_fails_if_the_daemon_lacks_a_library(project):
    project.add_wheel("2.0", module="other")
    project.require("2.0")
    code, output = project.build()
    assert code != 0
    assert "importing the daemon" in output
    assert not project.libraries.exists()


def test_a_build_fails_if_a_module_cannot_be_compiled(project):
    (project.root / "marjoramstile" / "broken.py").write_text("def\n")
    code, output = project.build()
    assert code != 0
    assert "compiling marjoramstile failed" in output


def leave_half_an_install(project) -> None:
    """Leave what an install that broke off has left, newer than the requirements."""
    project.libraries.mkdir(parents=True)
    (project.libraries / "plumbing-1.0.dist-info").mkdir()


def test_half_an_install_is_not_taken_for_a_whole_one(project):
    leave_half_an_install(project)
    code, _ = project.build()
    assert code == 0
    assert project.installed_version() == "1.0"


def test_half_an_install_does_not_stay_if_the_next_one_fails(project):
    leave_half_an_install(project)
    project.require("2.0")
    code, _ = project.build()
    assert code != 0
    assert not project.libraries.exists()


@pytest.mark.parametrize(
    "other",
    [
        {"processor": "another"},
        {"python": "cpython-39-another"},
        {"requirements": "0" * 64},
        {"unknown": "field"},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_libraries_for_something_else_are_installed_again(project, other):
    project.build()
    project.change_stamp(**other)
    number = project.libraries.stat().st_ino
    assert project.build() == (0, "")
    assert project.libraries.stat().st_ino != number
    assert project.installed_version() == "1.0"


def test_libraries_of_which_files_are_missing_are_installed_again(project):
    project.build()
    (project.libraries / "plumbing.py").unlink()
    code, output = project.build()
    assert code == 0
    assert "installing again" in output
    assert project.installed_version() == "1.0"


def test_whole_libraries_stay_if_an_update_fails(project):
    project.build()
    project.require("2.0")
    code, _ = project.build()
    assert code != 0
    assert project.installed_version() == "1.0"


def test_a_build_that_is_killed_leaves_nothing_that_the_next_one_takes(project):
    project.write_daemon(WAITING_DAEMON)
    process = project.start_build()
    wait_for(project.root / "importing")
    os.killpg(process.pid, signal.SIGKILL)
    process.communicate(timeout=LIMIT_S)
    assert not project.libraries.exists()
    project.write_daemon(DAEMON)
    assert project.build() == (0, "")
    assert project.installed_version() == "1.0"
    assert not list((project.root / "target").glob("deps.*"))


def test_two_builds_at_once_both_end_with_whole_libraries(project):
    project.write_daemon(WAITING_DAEMON)
    first = project.start_build()
    wait_for(project.root / "importing")
    second = project.start_build()
    time.sleep(0.5)
    (project.root / "go-on").touch()
    for process in (first, second):
        assert process.communicate(timeout=LIMIT_S)[0] == ""
        assert process.returncode == 0
    assert project.installed_version() == "1.0"
    assert not list((project.root / "target").glob("deps.*"))


def test_the_build_installs_the_versions_that_the_tests_use():
    pinned = (DEPLOY / "requirements.txt").read_text().split()
    tested = (DEPLOY.parent / "requirements.txt").read_text().split()
    assert set(pinned) <= set(tested)
