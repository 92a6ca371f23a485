PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
GENERATED := hibiscuspoint/wire
export PYTHONPATH := $(CURDIR)

.PHONY: demo test lint bench soak generate format

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m hibiscuspoint.load.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest -n 6 --dist loadgroup

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: $(VENV)/.installed
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix --quiet .

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks all --check

soak: $(VENV)/.installed
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest -n 6 --dist loadgroup

generate: $(VENV)/.installed
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=. --pyi_out=. --grpc_python_out=. \
		proto/hibiscuspoint/wire/*.proto
