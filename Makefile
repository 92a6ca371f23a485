PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
GENERATED := hibiscuspoint/wire
export PYTHONPATH := $(CURDIR)

.PHONY: demo test lint bench soak soak-faults generate format

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m hibiscuspoint.load.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest -n 6

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: $(VENV)/.installed
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix --quiet .

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks all --check

soak: $(VENV)/.installed
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest -n 6

soak-faults: $(VENV)/.installed
	$(BIN)/python -m tests.soak

generate: $(VENV)/.installed
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=. --pyi_out=. --grpc_python_out=. \
		proto/hibiscuspoint/wire/*.proto
	$(BIN)/python -m hibiscuspoint.telemetry.docs docs
