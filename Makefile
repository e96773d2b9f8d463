.DEFAULT_GOAL := help
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= lanting
KIT ?= ../given/kit/more/system
FLEETBENCH := $(KIT)/more/bench-993d7d/bin/fleetbench
SITE ?= lanting-hq
DAY ?= quiet-1
PACKAGES := $(wildcard packages/*) platform
STAMP := $(VENV)/.installed

.PHONY: help
help:  ## Show this list of commands
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | awk -F ':.*## ' '{printf "%-14s %s\n", $$1, $$2}'

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --upgrade -c constraints.txt setuptools
	$(BIN)/python -m pip install -q --no-build-isolation -c constraints.txt \
	  -r requirements-dev.txt $(foreach package,$(PACKAGES),-e $(package))
	touch $(STAMP)

.PHONY: install
install: $(STAMP)  ## Install the workspace and its tools into .venv

.PHONY: demo
demo: $(STAMP)  ## Run a small fleet: make demo [DEPLOYMENT=lanting|cedarline]
	$(BIN)/python -m millfork_standins.demo --deployment=$(DEPLOYMENT)

.PHONY: test
test: $(STAMP)  ## Run all tests and scenarios
	$(BIN)/python -m pytest

.PHONY: lint
lint: $(STAMP)  ## Check format, lint and types
	$(BIN)/ruff format --check packages platform deploy tests
	$(BIN)/ruff check packages platform deploy tests
	$(BIN)/mypy

.PHONY: format
format: $(STAMP)  ## Format the code
	$(BIN)/ruff format packages platform deploy tests
	$(BIN)/ruff check --fix packages platform deploy tests

.PHONY: bench
bench: $(STAMP)  ## Run the experiments: make bench [ONLY=distribution]
	$(BIN)/python -m millfork_standins.bench $(if $(ONLY),--only=$(ONLY))

.PHONY: bench-quick
bench-quick: $(STAMP)  ## Run a reduced set of the experiments
	$(BIN)/python -m millfork_standins.bench --quick $(if $(ONLY),--only=$(ONLY))

.PHONY: fail-first
fail-first: $(STAMP)  ## Show that each proof fails without its mechanism
	$(BIN)/python -m tests.fail_first

.PHONY: platform-day
platform-day:  ## Play a day of the users' bench: make platform-day SITE=lanting-hq DAY=quiet-1 WHY=...
	$(FLEETBENCH) run $(wildcard $(KIT)/*/$(SITE).toml) $(DAY) $(if $(WHY),--why "$(WHY)")

.PHONY: regress
regress:  ## Play the regression runs of the users' bench, listed in deploy/regress.txt
	@failed=0; grep -v '^#' deploy/regress.txt | { while read -r site day seed; do \
	  echo "$$site $$day $$seed"; \
	  $(FLEETBENCH) run $(KIT)/$$site.toml $$day --seed $$seed --why 'regression run' </dev/null > /tmp/regress.out 2>&1; \
	  grep -E '^worth|BROKEN' /tmp/regress.out || { tail -n 3 /tmp/regress.out; failed=1; }; \
	  if grep -q BROKEN /tmp/regress.out; then failed=1; fi; \
	done; exit $$failed; }

.PHONY: soak
soak: $(STAMP)  ## Run real processes under faults: make soak [SEED=1] [RUNS=1] [SECONDS=20]
	$(BIN)/python -m millfork_standins.soak --seed=$(or $(SEED),1) --runs=$(or $(RUNS),1) --seconds=$(or $(SECONDS),20)

.PHONY: plots
plots: $(STAMP)  ## Draw the bench's files as PNG
	$(BIN)/python -m millfork_standins.bench.plots
