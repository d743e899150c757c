"""Prints tables to standard output."""

from collections.abc import Sequence


def print_table(columns: Sequence[str], rows: list[dict[str, object]]) -> None:
    """Print a header line and the rows in aligned columns."""
    lines = [list(columns)]
    lines += [[str(row[column]) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())
