PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
export ROUTERS ENGINES TOKEN_INTERVAL_MS

.PHONY: demo platform-demo test serve lint format bench fuzz mutants matrix upgrade soak clean

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable ".[test,bench]"
	touch $@

demo: $(READY)
	$(BIN)/python -m scripts.demo

platform-demo: $(READY)
	$(BIN)/python -m scripts.platform_demo

serve: $(READY)
	@exec $(BIN)/python -m scripts.serve

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m scripts.run_tests $(if $(PROCESSES),--processes $(PROCESSES))

bench: $(READY)
	$(BIN)/python -m benchmarks.run_all

fuzz: $(READY)
	FUZZ_EXAMPLES=$(or $(SEEDS),1000) $(BIN)/python -m unittest tests.request.test_answers_fuzz

mutants: $(READY)
	$(BIN)/python -m scripts.mutants
	$(BIN)/python -m unittest -v tests.request.test_fault_matrix tests.request.test_command_machine tests.version.test_rollout_matrix

matrix: $(READY)
	$(BIN)/python -m scripts.fault_matrix

upgrade: $(READY)
	$(BIN)/python -m scripts.upgrade_check --from $(FROM) --seeds $(or $(SEEDS),1)

soak: $(READY)
	$(BIN)/python -m soak $(if $(SEEDS),--seeds $(SEEDS)) $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--minutes $(MINUTES))

clean:
	rm -rf $(VENV) build
