"""Tables and plots of measured values."""

import pathlib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from attrs import define, field
from hdrh.histogram import HdrHistogram

from testing.load.generator import new_histogram

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@define(eq=False)
class Totals:
    """Results of several streams together."""

    histogram: HdrHistogram = field(factory=new_histogram)
    late: HdrHistogram = field(factory=new_histogram)
    kinds: Counter[str] = field(factory=Counter)

    def add(self, result: Mapping[str, Any]) -> None:
        """Add the result of one stream."""
        self.histogram.decode_and_add(result["histogram"].encode())
        self.late.decode_and_add(result["late"].encode())
        self.kinds.update(result["kinds"])

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of good answers."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def late_ms(self, percentile: float) -> float:
        """Return by how much the generator itself was late."""
        return self.late.get_value_at_percentile(percentile) / 1000


def merge(results: Iterable[Mapping[str, Any]]) -> Totals:
    """Return the totals of some results."""
    totals = Totals()
    for result in results:
        totals.add(result)
    return totals


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns."""
    texts = [list(header)]
    texts += [[format_cell(cell) for cell in row] for row in rows]
    widths = [max(len(cell) for cell in column) for column in zip(*texts, strict=True)]
    lines = [
        "  ".join(
            cell.ljust(width) if number == 0 else cell.rjust(width)
            for number, (cell, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in texts
    ]
    return "\n".join(lines)


def format_cell(cell: object) -> str:
    """Return a cell; numbers get three significant digits."""
    if isinstance(cell, float):
        return f"{cell:.0f}" if abs(cell) >= 100 else f"{cell:.3g}"
    return str(cell)


def latency_rows(series: Mapping[str, Totals]) -> list[list[object]]:
    """Return a row of counts and percentiles for each series."""
    rows = []
    for name, totals in series.items():
        good = totals.kinds["ok"]
        bad = sum(totals.kinds.values()) - good
        percentiles = [totals.percentile_ms(p) for p in PERCENTILES]
        rows.append([name, good, bad, *percentiles, totals.late_ms(99.0)])
    return rows


LATENCY_HEADER = [
    "series",
    "good",
    "other",
    *(f"p{percentile:g} ms" for percentile in PERCENTILES),
    "generator late p99 ms",
]


def plot_latency(series: Mapping[str, Totals], path: pathlib.Path) -> None:
    """Draw the percentiles of each series."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    percentiles = [50, 75, 90, 95, 99, 99.5, 99.9, 99.99]
    positions = range(len(percentiles))
    for name, totals in series.items():
        values = [totals.percentile_ms(p) for p in percentiles]
        axes.plot(positions, values, marker="o", label=name)
    axes.set_xticks(list(positions), [f"{p:g}" for p in percentiles])
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency from the scheduled time, ms")
    axes.set_ylim(bottom=0)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
