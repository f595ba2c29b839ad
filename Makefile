VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := packages platform tests bench
export PYTHONPATH := $(CURDIR)/packages/heatherhatch-core/src:$(CURDIR)/packages/heatherhatch-daemon/src:$(CURDIR)/packages/heatherhatch-cli/src:$(CURDIR)/packages/heatherhatch-standins/src:$(CURDIR)/platform/src:$(CURDIR)
SEED ?= 1
JOBS ?= 4
COUNT ?= 5

.PHONY: help setup turns experiment demo test format lint check-format unit pages bench capacity proof soak clean

help:  ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/ -/'

setup: $(VENV)/.installed  ## install everything that is needed into .venv

$(VENV)/.installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: setup  ## run both example deployments under load and faults; SEED=n repeats a load
	$(BIN)/python -m gevent.monkey --module heatherhatch_standins.demo --seed $(SEED)

test: setup check-format lint unit  ## check the format, lint and run the tests

check-format: setup  ## check the format
	$(BIN)/ruff format --check $(SOURCES)

lint: setup  ## lint
	$(BIN)/ruff check $(SOURCES)

unit: setup  ## run the tests
	$(BIN)/python -m pytest -n $(JOBS) --dist loadfile -m "not proof and not alone"
	$(BIN)/python -m pytest -m alone

proof: setup  ## run the long proofs: pairs of faults, larger bounds
	$(BIN)/python -m pytest -m proof

format: setup  ## format the code and sort the imports
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

soak: setup  ## play random faults on real instances; SEED=n COUNT=n
	$(BIN)/python -m gevent.monkey --module heatherhatch_platform_standin.soak --seed $(SEED) --count $(COUNT)

turns: setup  ## play pools under demand that comes by turns, in virtual time
	$(BIN)/python -m bench.turns

experiment: setup  ## compare policies in virtual time; FILE=x.yaml PLOTS=folder TABLE=file
	$(BIN)/python -m bench.turns.experiment_cli $(FILE) $(if $(PLOTS),--plots $(PLOTS)) $(if $(TABLE),--table $(TABLE))

pages: setup  ## write the pages of docs/ that are made from the code
	$(BIN)/python -m heatherhatch_standins.pages

bench: setup  ## print measurements as lines of name, value, unit
	$(BIN)/python -m bench

capacity: setup  ## measure slopes and write docs/CAPACITY.md
	$(BIN)/python -m bench.capacity

clean:  ## remove what was built
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
