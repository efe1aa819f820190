PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test demo bench slopes faults soak format

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest -n 4
	$(BIN)/python tools/code_report.py

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python scripts/demo.py $(DEMO)

bench: $(STAMP)
	$(BIN)/python -m wagtailfront.programs.load bench
	$(BIN)/python scripts/start_cost.py

slopes: $(STAMP)
	$(BIN)/python scripts/slopes.py $(SLOPES)

faults: $(STAMP)
	$(BIN)/python scripts/faults.py $(FAULTS)

SEEDS ?= 1 2 3
soak: $(STAMP)
	$(BIN)/python scripts/soak.py --seeds $(SEEDS) $(SOAK)
