PY := .venv/bin/python
export PYTHONPATH := .:platform

.PHONY: setup demo test bench format

setup: .venv/.ready

.venv/.ready: requirements-dev.txt pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install --quiet -r requirements-dev.txt
	.venv/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	sh scripts/demo.sh

test: setup
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	$(PY) scripts/run_features.py

bench: setup
	$(PY) -m bench

format: setup
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .

.PHONY: catalogues
catalogues: setup
	$(PY) scripts/write_catalogues.py
