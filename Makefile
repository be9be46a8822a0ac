# Commands for developers and operators of a fresh checkout.
#   make demo   sets up and runs the embedded site once
#   make serve  keeps the same site up
#   make test   sets up and runs every check

VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := core server cli standins gateway
# Holds no package of its own name at its top, so `platform` stays the library's.
PLATFORM := platform
SOURCES := packages platform tools tests conftest.py

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src)):$(CURDIR)/$(PLATFORM)/src:$(CURDIR)

.PHONY: pages setup test check format lint types unit demo serve faults bench-path \
	bench-limits bench-policy capacity soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml) \
		$(PLATFORM)/pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach p,$(PACKAGES),--editable packages/$(p)) --editable ./$(PLATFORM)
	touch $@

test: setup check

check:
	sh tools/run_checks.sh $(PYTHON)

format:
	$(PYTHON) -m isort --quiet $(SOURCES)
	$(PYTHON) -m black --quiet $(SOURCES)

lint:
	$(PYTHON) -m isort --check-only --quiet $(SOURCES)
	$(PYTHON) -m black --check --quiet $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

types:
	$(PYTHON) -m mypy $(SOURCES)

unit:
	$(PYTHON) -m pytest

pages:
	$(PYTHON) -m tools.make_pages

demo: setup
	$(PYTHON) -m tools.demo

serve: setup
	$(PYTHON) -m tools.demo --keep_running

faults: setup
	$(PYTHON) -m tools.faults

bench-path: setup
	$(PYTHON) -m tools.bench_path

bench-limits: setup
	$(PYTHON) -m tools.bench_limits

bench-policy: setup
	$(PYTHON) -m tools.bench_policy

capacity: setup
	$(PYTHON) -m tools.capacity

# Plays COUNT seeds of the fault soak from SEED on.
SEED ?= 1
COUNT ?= 5

soak: setup
	$(PYTHON) -m jaytray_platform_tests.soak --seed=$(SEED) --count=$(COUNT)
