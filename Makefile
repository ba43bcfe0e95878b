PYTHON ?= python3
BIN = .venv/bin

.PHONY: demo test bench lint format

.venv: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch .venv

demo: .venv
	$(BIN)/python -m bench demo

test: .venv
	$(BIN)/python -m pytest

bench: .venv
	$(BIN)/python -m bench list

lint: .venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
