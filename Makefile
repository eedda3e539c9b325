# Every target builds the virtual environment first when it is missing.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test matrix lint slopes bench day long-run router-soak simulate path-cost fuzz clean

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/yokedock demo $(if $(KEEP),--keep,)

# Compiles the sources like an installation does: many tests wait for processes that start.
test: $(VENV)/.ready
	$(BIN)/python -m compileall -q src features
	$(BIN)/python features/run_features.py

matrix: $(VENV)/.ready
	$(BIN)/python -m compileall -q src features
	$(BIN)/python features/run_features.py 'matrix_*'

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/check_layers.py
	$(BIN)/python tools/check_system_calls.py
	$(BIN)/python tools/check_platform_words.py
	$(BIN)/python tools/check_deployment.py

slopes: $(VENV)/.ready
	$(BIN)/yokedock-emulator slopes

bench: $(VENV)/.ready
	$(BIN)/yokedock-emulator experiment --policies corrected_load,least_loaded --seeds 1,2,3 --out bench-results/experiment.json

day: $(VENV)/.ready
	$(BIN)/yokedock-emulator day

long-run: $(VENV)/.ready
	$(BIN)/yokedock-emulator long-run

router-soak: $(VENV)/.ready
	$(BIN)/yokedock-emulator router-soak --seeds 10

simulate: $(VENV)/.ready
	$(BIN)/yokedock-emulator simulate --seeds 10

fuzz: $(VENV)/.ready
	cd features && ../$(BIN)/python -m support.fuzz_properties

path-cost: $(VENV)/.ready
	$(BIN)/yokedock-emulator path-cost

clean:
	rm -rf $(VENV)
