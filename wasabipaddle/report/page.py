"""HTML page of measurements, with the plots embedded."""

import base64
import html
import pathlib

from wasabipaddle.report.plots import build_panels, plot_panel

__all__ = ["render_report", "write_report"]

PAGE_NAME = "report.html"

_STYLE = """
body { font: 14px system-ui, sans-serif; margin: 24px; max-width: 1000px; }
table { border-collapse: collapse; margin: 8px 0 16px; }
td, th { border: 1px solid #ddd; padding: 3px 8px; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.holds { color: #2e7d32; } .fails { color: #c62828; font-weight: 600; }
img { max-width: 100%; }
"""


def write_report(outcomes, directory) -> pathlib.Path:
    """Write the page of measurements into a directory and return its path."""
    directory = pathlib.Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / PAGE_NAME
    path.write_text(render_report(outcomes), encoding="utf-8")
    return path


def render_report(outcomes) -> str:
    """Return the HTML page of a sequence of `Measurement` objects."""
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Measurements</title><style>{_STYLE}</style></head><body>",
        "<h1>Measurements</h1>",
        *(_section(outcome) for outcome in outcomes),
        "</body></html>",
    ]
    return "\n".join(parts)


def _section(outcome):
    state = "holds" if outcome.holds else "fails"
    sizes = ", ".join(f"{k} {v}" for k, v in outcome.sizes.items())
    images = "".join(_image(panel) for panel in build_panels(outcome))
    return (
        f"<h2>{_escape(outcome.name)} <span class='{state}'>{state}</span></h2>"
        f"<p>Seed {outcome.seed}; {_escape(sizes)}.</p>{_table(outcome)}{images}"
    )


def _table(outcome):
    bounds = {b.figure: b for b in outcome.bounds}
    rows = []
    for name, value in outcome.figures.items():
        bound = bounds.get(name)
        bound_text, state = "", ""
        if bound is not None:
            bound_text = f"{bound.comparison} {bound.value:g}"
            state = "holds" if bound.holds(outcome.figures) else "fails"
        baseline = outcome.baseline.get(name, "")
        cells = (name, value, baseline, bound_text)
        text = "".join(f"<td>{_escape(c)}</td>" for c in cells)
        rows.append(f"<tr class='{state}'>{text}</tr>")
    head = "<tr><th>figure</th><th>system</th><th>baseline</th><th>bound</th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def _image(panel):
    data = base64.b64encode(plot_panel(panel)).decode()
    label = f"{panel.measure}, {panel.unit}"
    return f"<img alt='{_escape(label)}' src='data:image/png;base64,{data}'>"


def _escape(value):
    return html.escape(str(value), quote=True)
