PYTHON ?= python3
BIN = .venv/bin

.PHONY: demo test format check clean

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: .venv/installed
	$(BIN)/rattanridge demo

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/mypy

test: check
	$(BIN)/pytest
	$(BIN)/pytest -n 0 -m crowd

clean:
	rm -rf .venv build *.egg-info
