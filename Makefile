PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
export ROUTERS ENGINES TOKEN_INTERVAL_MS

.PHONY: demo test serve lint format bench fuzz mutants clean

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable ".[test,bench]"
	touch $@

demo: $(READY)
	$(BIN)/python -m scripts.demo

serve: $(READY)
	@exec $(BIN)/python -m scripts.serve

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m unittest discover --start-directory tests --top-level-directory .

bench: $(READY)
	$(BIN)/python -m benchmarks.run_all

clean:
	rm -rf $(VENV) build
