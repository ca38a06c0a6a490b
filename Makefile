# Commands of the project. Each one sets up its own virtual environment.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup format lint test soak fuzz bench binary demo

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.lock
	touch $@

format: setup
	$(PYTHON) -m ruff format wasabipaddle
	$(PYTHON) -m ruff check --fix wasabipaddle

lint: setup
	$(PYTHON) -m ruff format --check wasabipaddle
	$(PYTHON) -m ruff check wasabipaddle

test: setup
	$(PYTHON) -m pytest

soak: setup
	$(PYTHON) -m wasabipaddle soak --seeds 50 --at_once 4

fuzz: setup
	$(PYTHON) -m wasabipaddle fuzz --seconds 60
	$(PYTHON) -m wasabipaddle fuzz --decoders 100000

bench: setup
	$(PYTHON) -m wasabipaddle measure all --quick

binary: setup
	$(PYTHON) -m wasabipaddle.build_binary dist/wasabipaddle

demo: setup
	$(PYTHON) -m wasabipaddle demo
