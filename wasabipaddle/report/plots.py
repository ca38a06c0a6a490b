"""Plots of measured figures with their baselines and bounds.

Matplotlib is an optional dependency and is imported only when a plot is drawn.
"""

import io

import attrs

from wasabipaddle.exceptions import ErrorKind, Failure, WasabipaddleError

__all__ = ["Panel", "build_panels", "plot_panel"]

SYSTEM_COLOUR = "#1565c0"
BASELINE_COLOUR = "#b0bec5"
BOUND_COLOUR = "#c62828"
BAR_WIDTH = 0.38
FIGURE_SIZE_IN = (7.0, 3.2)
DPI = 110
# Units by suffix of the figure's name; the longest matching suffix applies. Figures of
# one panel share an axis, so they must have the same unit.
UNIT_SUFFIXES = (
    ("_s", "seconds"),
    ("_ms", "milliseconds"),
    ("ratio", "ratio"),
    ("ratio_min", "ratio"),
    ("_per_s", "per second"),
    ("_mb", "MB"),
    ("percent", "percent of a core"),
)


@attrs.frozen(kw_only=True)
class Panel:
    """Figures of one measure that have the same unit.

    Parameters
    ----------
    names : tuple of str
        Names of the figures.
    system, baseline : tuple of float or None
        Values in the order of `names`; None where there is no such figure.
    bounds : tuple of float or None
        Bounds in the order of `names`; None where a figure has no bound.
    """

    measure: str
    unit: str
    names: tuple[str, ...]
    system: tuple
    baseline: tuple
    bounds: tuple


def build_panels(outcome) -> list[Panel]:
    """Return the panels of a `Measurement`, one for each unit.

    Figures that are not numbers or have no known unit are left out.
    """
    groups = {}
    for name, value in outcome.figures.items():
        unit = _unit(name)
        if unit is not None and isinstance(value, int | float):
            groups.setdefault(unit, []).append(name)
    bounds = {b.figure: b.value for b in outcome.bounds}
    return [
        Panel(
            measure=outcome.name,
            unit=unit,
            names=tuple(names),
            system=tuple(outcome.figures[n] for n in names),
            baseline=tuple(outcome.baseline.get(n) for n in names),
            bounds=tuple(bounds.get(n) for n in names),
        )
        for unit, names in groups.items()
    ]


def plot_panel(panel) -> bytes:
    """Return the plot of a panel as a PNG image.

    Raises
    ------
    WasabipaddleError
        If matplotlib is not installed.
    """
    pyplot = _pyplot()
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_IN, dpi=DPI)
    positions = range(len(panel.names))
    _draw_bars(axes, positions, panel.system, -BAR_WIDTH / 2, SYSTEM_COLOUR, "system")
    _draw_bars(
        axes, positions, panel.baseline, BAR_WIDTH / 2, BASELINE_COLOUR, "baseline"
    )
    for position, bound in zip(positions, panel.bounds, strict=True):
        if bound is not None:
            ends = (position - BAR_WIDTH, position + BAR_WIDTH)
            axes.hlines(bound, *ends, colors=BOUND_COLOUR, linestyles="dashed")
    axes.set_xticks(list(positions), panel.names, rotation=20, ha="right", fontsize=8)
    axes.set_ylabel(panel.unit)
    axes.set_title(f"{panel.measure} (dashed: bound)", fontsize=10)
    if _value_ratio(panel) > 1000:
        axes.set_yscale("symlog")
    axes.legend(fontsize=8)
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    pyplot.close(figure)
    return buffer.getvalue()


def _unit(name):
    matches = [(len(s), unit) for s, unit in UNIT_SUFFIXES if name.endswith(s)]
    return max(matches)[1] if matches else None


def _draw_bars(axes, positions, values, shift, colour, label):
    points = [(p, v) for p, v in zip(positions, values, strict=True) if v is not None]
    axes.bar(
        [p + shift for p, _ in points],
        [v for _, v in points],
        BAR_WIDTH,
        color=colour,
        label=label,
    )


def _value_ratio(panel):
    values = [abs(v) for v in (*panel.system, *panel.baseline) if v]
    return max(values) / min(values) if values else 1


def _pyplot():
    try:
        import matplotlib
    except ImportError as error:
        detail = "the report needs matplotlib: install wasabipaddle[plots]"
        failure = Failure(kind=ErrorKind.INVALID_SETTINGS, detail=detail)
        raise WasabipaddleError(failure) from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot
