# The two commands a newcomer needs are `make demo` and `make test`.
VENV := .venv
BIN := $(VENV)/bin
LIBS := telemetry http model runtime policy sidecar mesh moves calls daemon cli standins bench soak
EDITABLE := $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform -e platform/standins -e deploy/node
SOURCES := $(foreach lib,$(LIBS),libs/$(lib)/src) platform/src platform/standins/src deploy/node/src
STAMP := $(VENV)/.installed

.PHONY: setup format lint types contracts unit test demo

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard libs/*/pyproject.toml platform/pyproject.toml platform/standins/pyproject.toml)
	python3.11 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt uv
	# Compiled ahead: a daemon or a tool then starts in a third of the time.
	$(BIN)/uv pip install --quiet --compile-bytecode --python $(BIN)/python \
	  --constraint constraints.txt --build-constraints constraints.txt \
	  --requirement requirements-dev.txt $(EDITABLE)
	touch $(STAMP)

format: setup
	$(BIN)/ruff format libs platform deploy

lint: setup
	$(BIN)/ruff format --check libs platform deploy
	$(BIN)/flake8 libs platform deploy

types: setup
	$(BIN)/mypy $(SOURCES)

contracts: setup
	$(BIN)/lint-imports --no-cache

unit: setup
	$(BIN)/python -m pytest

test: lint types contracts unit

demo: setup
	$(BIN)/verbenamill-bench demo
