"""When the Makefile makes the environment anew; with a stand-in for Python and pip."""

import os
import shutil
import subprocess
from pathlib import Path

import pytest

MAKEFILE = Path(__file__).resolve().parents[1] / "Makefile"
# Makes an environment whose pip does what the variable PIP says, and tells its calls.
PYTHON = """#!/bin/sh
if [ "$1" = -c ]; then echo "$ABI"; exit; fi
echo "$@" >> calls
[ "$3" = --clear ] && rm -rf "$4"
mkdir -p .venv/bin
printf '#!/bin/sh\\neval "$PIP"\\n' > .venv/bin/pip
chmod +x .venv/bin/pip
touch .venv/made
"""


class Checkout:
    """A checkout that has nothing but the Makefile and what it depends on."""

    def __init__(self, root: Path):
        self.root = root
        root.mkdir()
        shutil.copy(MAKEFILE, root)
        (root / "requirements.txt").touch()
        (root / "pyproject.toml").touch()
        python = root / "python"
        python.write_text(PYTHON)
        python.chmod(0o755)

    def install(self, pip: str = "true", abi: str = "cpython-311-here") -> int:
        """Run ``make install`` with an interpreter and pip; return the exit code."""
        environment = {**os.environ, "PIP": pip, "ABI": abi}
        environment.pop("MAKEFLAGS", None)
        command = ["make", "--silent", "install", "PYTHON=./python"]
        done = subprocess.run(
            command, cwd=self.root, env=environment, capture_output=True, check=False
        )
        return done.returncode

    @property
    def installs(self) -> int:
        """How often the environment was made."""
        return len((self.root / "calls").read_text().splitlines())


@pytest.fixture
def checkout(tmp_path):
    """A fresh checkout."""
    return Checkout(tmp_path / "checkout")


def test_an_environment_is_made_once(checkout):
    assert checkout.install() == 0
    assert checkout.install() == 0
    assert checkout.installs == 1


def test_an_install_that_broke_off_fails_and_starts_anew(checkout):
    assert checkout.install(pip="touch .venv/half; exit 1") != 0
    assert (checkout.root / ".venv" / "half").exists()
    assert checkout.install() == 0
    assert checkout.installs == 2
    assert not (checkout.root / ".venv" / "half").exists()


def test_an_environment_of_another_interpreter_or_processor_is_made_anew(checkout):
    assert checkout.install(abi="cpython-311-x86_64-linux-gnu") == 0
    assert checkout.install(abi="cpython-311-aarch64-linux-gnu") == 0
    assert checkout.installs == 2


def test_an_environment_that_was_copied_with_its_checkout_is_made_anew(
    checkout, tmp_path
):
    checkout.install()
    copied = tmp_path / "copied"
    shutil.copytree(checkout.root, copied)
    checkout.root = copied
    assert checkout.install() == 0
    assert checkout.installs == 2
