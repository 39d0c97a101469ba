VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
# Tests mostly wait; half of the processors are left to the processes that they start.
WORKERS ?= $(shell expr $$(nproc) / 2)

.PHONY: setup demo test bench format clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/python -m dogwoodhook.testing demo

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m dogwoodhook.catalogue --check
	$(BIN)/pytest --numprocesses=$(WORKERS) --dist=loadgroup --durations=20 \
		--doctest-modules dogwoodhook tests properties

bench: setup
	$(BIN)/python -m benchmarks

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .pytest_cache .hypothesis
