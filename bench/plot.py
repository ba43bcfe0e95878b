"""Plots results as bar charts, with the bounds of their targets."""

from pathlib import Path

import msgspec

from bench.experiment import Result
from cicadawheel.errors import UserError

WIDTH_INCHES = 9.0
HEIGHT_PER_FIGURE_INCHES = 0.3
HEIGHT_MIN_INCHES = 2.0


def read_results(files: list[Path]) -> list[Result]:
    """Read the results of several runs."""
    return [msgspec.json.decode(file.read_bytes(), type=Result) for file in files]


def plot_results(files: list[Path], out: Path) -> None:
    """Draw one panel for each experiment, one bar for each figure and run.

    Raises
    ------
    UserError
        matplotlib isn't installed; requirements-plot.txt lists it.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        text = "matplotlib is missing: install requirements-plot.txt"
        raise UserError(text, step="plot") from error
    results = read_results(files)
    names = sorted({result.experiment for result in results})
    panels = {
        name: [result for result in results if result.experiment == name]
        for name in names
    }
    heights = [_height_inches(panels[name]) for name in names]
    figure = Figure((WIDTH_INCHES, sum(heights)), layout="constrained")
    axes = figure.subplots(len(names), 1, squeeze=False, height_ratios=heights)
    for name, axis in zip(names, axes[:, 0], strict=True):
        _draw(axis, name, panels[name])
    figure.savefig(out)


def _height_inches(results: list[Result]) -> float:
    bars = sum(len(result.figures) for result in results)
    return max(HEIGHT_MIN_INCHES, bars * HEIGHT_PER_FIGURE_INCHES)


def _draw(axis, name: str, results: list[Result]) -> None:
    figures = sorted({figure for result in results for figure in result.figures})
    height = 0.8 / len(results)
    for number, result in enumerate(results):
        known = [figure for figure in figures if figure in result.figures]
        places = [figures.index(figure) + number * height for figure in known]
        values = [result.figures[figure] for figure in known]
        label = f"seed {result.seed}, {result.commit}, {result.verdict.value}"
        axis.barh(places, values, height, label=label)
    for target in results[0].targets:
        if target.figure in figures:
            place = figures.index(target.figure)
            axis.plot([target.bound] * 2, [place - 0.4, place + 0.8], "k--")
    axis.set_yticks(range(len(figures)), figures)
    axis.set_xscale("symlog")
    axis.set_title(name)
    axis.legend()
