"""Drawing of one plot as SVG."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from io import StringIO
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

WIDTH: Final = 7.0
HEIGHT: Final = 3.5
SALT: Final = "swiftpin"


class Plot:
    """A figure with one pair of axes; `svg` is filled when its block ends."""

    def __init__(self, axes: Axes) -> None:
        self.axes = axes
        self.svg = ""


@contextmanager
def drawn_plot(title: str, x_label: str, y_label: str) -> Iterator[Plot]:
    """Yield a plot to draw on; equal data gives an equal SVG."""
    with mpl.rc_context({"svg.hashsalt": SALT}):
        figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
        plot = Plot(figure.add_subplot())
        plot.axes.set_title(title)
        plot.axes.set_xlabel(x_label)
        plot.axes.set_ylabel(y_label)
        yield plot
        buffer = StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    svg = buffer.getvalue()
    plot.svg = svg[svg.index("<svg") :]
