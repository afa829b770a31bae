VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: setup demo test lint format bench

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: setup
	$(VENV)/bin/orioleloom demo

test: setup
	$(PY) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check src tests benchmarks
	$(VENV)/bin/flake8 src tests benchmarks

format: setup
	$(VENV)/bin/ruff format src tests benchmarks

bench: setup
	$(PY) -m benchmarks
