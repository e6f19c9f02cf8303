VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
SEED ?= 1
SECONDS ?= 20
ARGS ?=
export PYTHONPATH := src

.PHONY: report setup demo test soak format format-check lint binary bench lock

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

lock: pyproject.toml
	$(BIN)/pip install --quiet --upgrade '.[test,report]'
	$(BIN)/pip freeze --exclude oriolejunction > requirements.lock

demo: setup
	$(BIN)/python -m oriolejunction demo

test: setup
	$(BIN)/python -m pytest $(ARGS)

format: setup
	$(BIN)/black --quiet src tests $(wildcard bench)

format-check: setup
	$(BIN)/black --check --quiet src tests $(wildcard bench)

lint: setup
	$(BIN)/flake8 src tests $(wildcard bench)

binary: setup
	mkdir -p dist
	$(BIN)/shiv --quiet --console-script oriolejunction \
		--output-file dist/oriolejunction --reproducible \
		--compressed '.[report]'

# Benches that need real processes; the others run inside the binary.
PROCESS_BENCHES := config config-spread ledger throughput capacity soak-processes
BENCH_MODULE = $(if $(filter $(NAME),$(PROCESS_BENCHES)),bench,oriolejunction bench)

bench: setup
	@$(BIN)/python -m $(BENCH_MODULE) $(NAME) --seed $(SEED) \
		--seconds $(SECONDS) --json

# All benches, with tables and plots in the folder report/.
report: setup
	$(BIN)/python -m bench all --seed $(SEED) --seconds $(SECONDS) \
		--report report

# Real processes under faults: FIRST seed, COUNT of them, SECONDS each.
FIRST ?= 1
COUNT ?= 50
JOBS ?= 3

soak: setup
	$(BIN)/python -m tests.soak --first $(FIRST) --count $(COUNT) \
		--seconds $(SECONDS) --jobs $(JOBS)
