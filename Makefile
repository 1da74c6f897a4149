# Two commands for a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Replays of loads in virtual time: no sockets, no clock, minutes of processor time.
REPLAYS := $(addprefix tests/test_,duty_leases_stateful.py target_scaling.py team_fairness.py \
	trainer_world.py)

.PHONY: demo test format lint types unit replays bench binary clean

demo: $(STAMP)
	$(BIN)/balsamcleat demo

# The replays run beside the other tests, which takes half of the time.
test: $(STAMP) lint types
	$(MAKE) -j2 --output-sync=target unit replays
	$(MAKE) bench

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps -e .
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

lint: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest -m "not bounds" $(addprefix --ignore=,$(REPLAYS))

replays: $(STAMP)
	$(BIN)/python -m pytest -m "not bounds" $(REPLAYS)

bench: $(STAMP)
	$(BIN)/python -m pytest -m bounds

# One file that runs everything but the bench's plots; see docs/DECISIONS/02-one-binary.md.
binary: $(STAMP)
	mkdir -p build dist
	grep -v '^matplotlib' requirements.in > build/requirements-binary.in
	$(BIN)/pex -r build/requirements-binary.in --venv-repository $(VENV) -D src \
		-e balsamcleat.cli:main --venv prepend --sh-boot \
		--python-shebang "/usr/bin/env python3" -o dist/balsamcleat
	BALSAMCLEAT_BINARY=dist/balsamcleat $(BIN)/python -m pytest tests/test_cli.py -k one_process
	dist/balsamcleat --version

clean:
	rm -rf build dist reports
