PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PIP = $(BIN)/pip --disable-pip-version-check --quiet

.PHONY: demo test bench check env

env: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(PIP) install --constraint constraints.txt --editable '.[dev,plots]'
	touch $@

check: env
	$(BIN)/black --check --quiet ragworttiller standins tests bench tools
	$(BIN)/ruff check --no-cache ragworttiller standins tests bench tools
	$(BIN)/mypy --no-error-summary

test: check
	$(BIN)/python tools/known_red.py

demo: env
	$(BIN)/python -m tools.demo
	$(BIN)/python -m tools.cell_demo

bench: env
	$(BIN)/python -m bench
