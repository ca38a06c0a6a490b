"""Tests of the HTML report of measurements."""

import builtins

import pytest

from wasabipaddle.exceptions import WasabipaddleError
from wasabipaddle.measure import Bound, Measurement
from wasabipaddle.report import build_panels, plot_panel, write_report

OUTCOME = Measurement(
    name="waiting",
    seed=1,
    sizes={"workers": 10},
    figures={"urgent_wait_max_s": 3.0, "urgent_wait_p99_s": 1.0, "evicted": 3},
    baseline={"urgent_wait_max_s": 9.0},
    bounds=(Bound(figure="urgent_wait_max_s", comparison="<=", value=2.7),),
)


def test_panel_keeps_baseline_and_bound_beside_their_figure():
    """Guards against a plot with the baseline or bound of another figure."""
    (panel,) = build_panels(OUTCOME)
    assert panel.names == ("urgent_wait_max_s", "urgent_wait_p99_s")
    assert panel.baseline == (9.0, None)
    assert panel.bounds == (2.7, None)


def test_report_marks_a_broken_bound_and_contains_its_pictures(tmp_path):
    """Guards against a report that hides a failed bound or needs other files."""
    text = write_report([OUTCOME], tmp_path).read_text(encoding="utf-8")
    assert "<tr class='fails'><td>urgent_wait_max_s</td>" in text
    assert text.count("data:image/png;base64,") == 1


def test_missing_plot_library_is_a_clear_error(monkeypatch):
    """Guards against a stack trace if matplotlib is not installed."""
    real_import = builtins.__import__

    def without_matplotlib(name, *args, **kwargs):
        if name.startswith("matplotlib"):
            raise ImportError(name)
        return real_import(name, *args, **kwargs)

    monkeypatch.setattr(builtins, "__import__", without_matplotlib)
    with pytest.raises(WasabipaddleError, match="wasabipaddle"):
        plot_panel(build_panels(OUTCOME)[0])
