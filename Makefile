PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

.PHONY: demo test lint format generate clean

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
