"""HTML report of measurements, with plots."""

from wasabipaddle.report.page import render_report, write_report
from wasabipaddle.report.plots import Panel, panels_of, plot_panel

__all__ = ["Panel", "panels_of", "plot_panel", "render_report", "write_report"]
