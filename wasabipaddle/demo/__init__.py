"""Demo driver: starts the processes of a deployment, sends load, injects faults."""

from wasabipaddle.demo.demo import run_demo, run_playground

__all__ = ["run_demo", "run_playground"]
