PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# An environment works for one interpreter, on one kind of processor, in one place.
ABI := $(shell $(PYTHON) -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
PLACE := $(shell printf %s '$(CURDIR)' | cksum | cut -d ' ' -f 1)
STAMP := $(VENV)/.installed-$(ABI)-$(PLACE)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

.PHONY: install demo test lint format generate clean

install: $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: $(STAMP)
	$(BIN)/python -m tools.generate_peer_types

test: lint
	$(BIN)/python -m pytest

clean:
	rm -rf $(VENV)
