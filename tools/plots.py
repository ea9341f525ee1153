"""Draws plots of benchmark results: ``python -m tools.plots``, after ``make bench``.

Reads ``.run/bench.json`` and writes SVG files to ``docs/plots``.
"""

from __future__ import annotations

import re
import sys
import textwrap
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "ragworttiller"

from matplotlib import pyplot as plt  # noqa: E402

from bench.table import Row, load  # noqa: E402

PLOTS = Path("docs") / "plots"
FIGURE_INCHES = (7.0, 4.0)
LABEL_CHARACTERS = 16
_SERIES = re.compile(r"([a-z][a-z_]+) ([\d.,/%]+)(?=,|$)")


class Plot(NamedTuple):
    """Plot with its axes; ``draw`` plots the rows and returns whether there was data."""

    name: str
    title: str
    x: str
    y: str
    draw: Callable[[plt.Axes, list[Row]], bool]


def series(row: Row) -> dict[str, list[float]]:
    """Return the figures of each policy in a row's columns of measurements."""
    policy_figures = {}
    for name, figures in _SERIES.findall(f"{row.baseline}, {row.measured}"):
        parts = figures.rstrip(",").split("/")
        policy_figures[name] = [float(part.replace(",", "").rstrip("%")) for part in parts]
    return policy_figures


def line_plot(pattern: str, column: int) -> Callable[[plt.Axes, list[Row]], bool]:
    """Return a function that draws a line per policy over the number in the name of a row."""

    def draw(axes: plt.Axes, rows: list[Row]) -> bool:
        points: dict[str, list[tuple[float, float]]] = {}
        for row in rows:
            match = re.search(pattern, row.name)
            if match is None:
                continue
            for name, figures in series(row).items():
                points.setdefault(name, []).append((float(match.group(1)), figures[column]))
        for name, pairs in points.items():
            axes.plot(*zip(*sorted(pairs), strict=True), marker="o", label=name)
        if points:
            axes.set_yscale("log")
        return bool(points)

    return draw


def bar_plot(pattern: str) -> Callable[[plt.Axes, list[Row]], bool]:
    """Return a function that draws a group of bars per row whose name matches.

    The rows hold ratios; a bar shows the excess of a ratio over 1.
    """

    def draw(axes: plt.Axes, rows: list[Row]) -> bool:
        matching = [(m, row) for row in rows if (m := re.search(pattern, row.name))]
        for group, (_, row) in enumerate(matching):
            figures = series(row)
            width = 0.8 / max(1, len(figures))
            for position, (name, values) in enumerate(figures.items()):
                label = name if group == 0 else None
                axes.bar(
                    group + position * width,
                    values[0] - 1,
                    width,
                    color=f"C{position}",
                    label=label,
                )
        labels = [textwrap.fill(m.group(1), LABEL_CHARACTERS) for m, _ in matching]
        axes.set_xticks(range(len(matching)), labels, fontsize=6)
        return bool(matching)

    return draw


ALL_PLOTS = (
    Plot(
        "routing-p99",
        "Waiting time by routing policy",
        "load, share of capacity",
        "p99, ms",
        line_plot(r"p50 ms/p99 ms.* at ([\d.]+) of capacity", 1),
    ),
    Plot(
        "decision-p99",
        "Cost of a placement decision",
        "workers",
        "p99, us",
        line_plot(r"decision in us, (\d+) workers", 1),
    ),
    Plot(
        "packing",
        "Workers used beyond the bound",
        "",
        "share of the bound",
        bar_plot(r"workers used to bound, (.*)"),
    ),
)


def main() -> int:
    """Draw every plot for which there are results."""
    rows = load()
    PLOTS.mkdir(parents=True, exist_ok=True)
    drawn = 0
    for plot in ALL_PLOTS:
        figure, axes = plt.subplots(figsize=FIGURE_INCHES, layout="constrained")
        if plot.draw(axes, rows):
            axes.set(title=plot.title, xlabel=plot.x, ylabel=plot.y)
            axes.legend(fontsize=7)
            figure.savefig(PLOTS / f"{plot.name}.svg", metadata={"Date": None})
            drawn += 1
        plt.close(figure)
    print(f"plots: {drawn} of {len(ALL_PLOTS)} drawn")
    return 0 if drawn else 1


if __name__ == "__main__":
    sys.exit(main())
