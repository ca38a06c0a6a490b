"""Command `measure`: run measures and compare them with their bounds."""

import importlib
import json
import pkgutil

import wasabipaddle.measure
from wasabipaddle.commands.action import UsageError
from wasabipaddle.measure import MEASURES
from wasabipaddle.report import write_report

__all__ = ["measure"]

DEFAULT_SEED = 1


def measure(
    name, *, seed=DEFAULT_SEED, quick=False, json_output=False, report="", against=""
):
    """Run one measure, or `all`, and print its figures.

    Parameters
    ----------
    name : str
        Name of the measure, or `all`.
    seed : int
        Seed of the input.
    quick : bool
        Use smaller inputs.
    json_output : bool
        Print JSON; the flag `--json` of the command line.
    report : str
        Directory for an HTML page with plots; empty for none.
    against : str
        Checkout that the processes of the measure `calls` are compared with; empty for
        this code itself.

    Returns
    -------
    bool
        Whether every bound holds.

    Raises
    ------
    UsageError
        If there is no measure of that name.
    """
    _import_measures(name)
    if name != "all" and name not in MEASURES:
        raise UsageError(
            f"unknown measure {name}; the measures are {', '.join(sorted(MEASURES))}"
        )
    names = sorted(MEASURES) if name == "all" else [name]
    outcomes = [
        _run(MEASURES[n](against=against), seed=seed, quick=quick, as_json=json_output)
        for n in names
    ]
    if report:
        print(write_report(outcomes, report))
    return all(o.holds for o in outcomes)


def _run(measure, *, seed, quick, as_json):
    outcome = measure.run(seed=seed, quick=quick)
    if as_json:
        print(json.dumps(outcome.as_json()))
    else:
        _print_text(outcome)
    return outcome


def _print_text(outcome):
    print(
        f"{outcome.name} (seed {outcome.seed}): {'holds' if outcome.holds else 'FAILS'}"
    )
    bounds = {b.figure: f"{b.comparison} {b.value:g}" for b in outcome.bounds}
    for key, value in outcome.figures.items():
        baseline = outcome.baseline.get(key, "-")
        bound = bounds.get(key, "")
        print(f"  {key:28} {value!s:>14}  baseline {baseline!s:>14}  {bound}")


def _import_measures(name):
    """Import the module with the name of a measure, or else every module."""
    modules = list(pkgutil.iter_modules(wasabipaddle.measure.__path__))
    matching = [m for m in modules if m.name == name]
    for module in matching or modules:
        if module.name != "tests":
            importlib.import_module(f"wasabipaddle.measure.{module.name}")
