VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SIMULATED := testing/mesh testing/overload

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

# Tests on simulated time use all processors. The others measure real time, and some of
# them listen on fixed ports, so they run one after another.
unit: $(STAMP)
	$(BIN)/python -m pytest --numprocesses auto --dist worksteal $(SIMULATED)
	$(BIN)/python -m pytest $(addprefix --ignore=,$(SIMULATED))

demo: $(STAMP)
	$(BIN)/python -m testing.fleet demo

fleet: $(STAMP)
	@$(BIN)/python -m testing.fleet run
