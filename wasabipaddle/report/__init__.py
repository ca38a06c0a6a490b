"""HTML report of measurements, with plots."""

from wasabipaddle.report.page import render_report, write_report
from wasabipaddle.report.plots import Panel, build_panels, plot_panel

__all__ = ["Panel", "build_panels", "plot_panel", "render_report", "write_report"]
