VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test format lint generate check-generated unit demo fleet

test: lint check-generated unit

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable ".[test]"
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

generate: $(STAMP)
	$(BIN)/python tools/generate.py

check-generated: $(STAMP)
	$(BIN)/python tools/generate.py --check

unit: $(STAMP)
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m testing.fleet demo

fleet: $(STAMP)
	@$(BIN)/python -m testing.fleet run
