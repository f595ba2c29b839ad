"""Writes the page docs/CAPACITY.md and its plots from slopes."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

from .slope import Slope  # noqa: E402

DOCS = Path(__file__).parents[2] / "docs"
TEMPLATE = Path(__file__).with_name("page.md")
PLOTS = "capacity"
FIGURE_INCHES = (5, 3)
PLOT_DPI = 72


def write_page(slopes: tuple[Slope, ...], figures: dict[str, str]) -> None:
    """Write the page and a plot for each slope.

    Args:
        slopes: Measured slopes; each replaces the placeholder of its name.
        figures: Other values by the name of their placeholder.
    """
    (DOCS / PLOTS).mkdir(exist_ok=True)
    for slope in slopes:
        _plot(slope)
    text = TEMPLATE.read_text(encoding="utf-8")
    placeholders = {
        _slug(slope): f"{slope.at_target:.3g} {slope.unit}" for slope in slopes
    }
    for name, figure in {**placeholders, **figures}.items():
        text = text.replace("{" + name + "}", figure)
    text = text.replace("{slopes}", _table(slopes))
    (DOCS / "CAPACITY.md").write_text(text, encoding="utf-8")


def _table(slopes: tuple[Slope, ...]) -> str:
    lines = [
        "| what | axis | measured at | values | slope | at target size | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in slopes:
        gradient, intercept = slope.line
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        values = ", ".join(f"{value:.3g}" for value in slope.values)
        lines.append(
            f"| [{slope.name}]({PLOTS}/{_slug(slope)}.png) | {slope.axis} | {sizes}"
            f" | {values} {slope.unit} | {gradient:.3g} {slope.unit} each"
            f" + {intercept:.3g} | {slope.at_target:.3g} {slope.unit}"
            f" at {slope.target_size:g} | {100 * slope.residual:.0f}% |"
        )
    return "\n".join(lines)


def _plot(slope: Slope) -> None:
    figure, axes = plt.subplots(figsize=FIGURE_INCHES)
    last = max(*slope.sizes, slope.target_size)
    axes.plot([0, last], [slope.at(0), slope.at(last)], label="line")
    axes.plot(slope.sizes, slope.values, "o", label="measured")
    axes.axvline(slope.target_size, linestyle=":", label="target size")
    axes.set_xlabel(slope.axis)
    axes.set_ylabel(f"{slope.name}, {slope.unit}")
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(DOCS / PLOTS / f"{_slug(slope)}.png", dpi=PLOT_DPI)
    plt.close(figure)


def _slug(slope: Slope) -> str:
    text = f"{slope.name} over {slope.axis}".lower()
    return "".join(c if c.isalnum() else "-" for c in text).replace("--", "-")
