"""Command `replay`: replay a trace and check its expected outcomes."""

import json as json_module

from wasabipaddle.commands.exit_codes import EXIT_BROKEN
from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.replay import check_outcomes, load_trace, replay_trace
from wasabipaddle.settings import load_settings

__all__ = ["replay"]


def replay(path, settings, *, seed, json):
    """Replay a trace, print its figures and check its expected outcomes.

    Returns
    -------
    int or None
        Exit code; None if every outcome holds.

    Raises
    ------
    WasabipaddleError
        If the trace or the settings are not valid.
    """
    trace = _unwrap(load_trace(path))
    figures = replay_trace(trace, _unwrap(load_settings(settings)), seed=seed)
    broken = check_outcomes(trace.expects, figures)
    values = dict(sorted(figures.values.items()))
    if json:
        text = str(broken) if broken else None
        print(json_module.dumps({"figures": values, "broken": text}))
    else:
        for name, value in values.items():
            print(f"  {name:28} {value:>10}")
        print(f"broken: {broken}" if broken else f"{len(trace.expects)} outcomes hold")
    return EXIT_BROKEN if broken else None


def _unwrap(result):
    if result.is_err():
        raise WasabipaddleError(result.unwrap_err())
    return result.unwrap()
