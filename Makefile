# Two commands do everything: `make demo` and `make test`. Both set up .venv first.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test format lint types features protocol clean

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(BIN)/limelever-lab demo

test: setup
	$(BIN)/python -m limelever_lab.testrun

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

protocol: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src --python_out=src --mypy_out=quiet:src src/limelever/protocol/*.proto

clean:
	rm -rf $(VENV)
