"""Compares the variants of an experiment by paired differences."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import mean

from scipy import stats

from .runner import DayResult
from .worth import Worth

CONFIDENCE = 0.95
COLUMNS = ("worth", "earned", "windows", "queue", "machine_s", "moves")


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean of paired differences with its confidence interval.

    Attributes:
        mean: Mean difference.
        low: Lower bound of the 95 % interval.
        high: Upper bound.
    """

    mean: float
    low: float
    high: float

    @property
    def is_significant(self) -> bool:
        """True if the interval does not contain 0."""
        return self.low > 0 or self.high < 0


@dataclass(frozen=True, slots=True)
class Row:
    """One variant on one fleet.

    Attributes:
        fleet: Name of the fleet.
        variant: Name of the variant.
        means: Mean of each of `COLUMNS` over the seeds.
        worth: Difference of worth to the first variant; None for the first one.
        earned: The same of the share earned before prices.
    """

    fleet: str
    variant: str
    means: dict[str, float]
    worth: Difference | None
    earned: Difference | None


def paired_difference(values: list[float], base: list[float]) -> Difference:
    """Return the mean difference of two lists of values of the same seeds."""
    differences = [one - other for one, other in zip(values, base, strict=True)]
    center = mean(differences)
    if len(set(differences)) == 1:
        return Difference(center, center, center)
    low, high = stats.t.interval(
        CONFIDENCE, len(differences) - 1, center, stats.sem(differences)
    )
    return Difference(center, float(low), float(high))


def summarize(results: Iterable[DayResult]) -> list[Row]:
    """Return a row for each variant on each fleet, in the order of the results."""
    found: dict[str, dict[str, list[Worth]]] = defaultdict(dict)
    for result in results:
        by_variant = found[result.day.fleet]
        by_variant.setdefault(result.day.variant, []).append(result.worth)
    rows = []
    for fleet, by_variant in found.items():
        base = next(iter(by_variant.values()))
        for variant, worths in by_variant.items():
            is_base = worths is base
            rows.append(
                Row(
                    fleet,
                    variant,
                    {name: mean(_values(worths, name)) for name in COLUMNS},
                    None if is_base else _difference(worths, base, "worth"),
                    None if is_base else _difference(worths, base, "earned"),
                )
            )
    return rows


def format_row(row: Row) -> str:
    """Return a row as a line of text."""
    means = row.means
    text = (
        f"{row.fleet:14} {row.variant:22} worth {means['worth']:.4f}"
        f"  earned {means['earned']:.4f}  windows {means['windows']:.3f}"
        f"  queue {means['queue']:.3f}  machine-s {means['machine_s']:6.0f}"
        f"  moves {means['moves']:5.0f}"
    )
    if row.worth is None:
        return text
    return f"{text}  worth {_format(row.worth)}  earned {_format(row.earned)}"


def markdown_table(rows: list[Row]) -> str:
    """Return the rows as a table in Markdown."""
    lines = [
        "| load | variant | worth | earned | worst windows | worst queue |"
        " machine-s | moves | worth, difference | earned, difference |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        means = row.means
        cells = [
            row.fleet,
            row.variant,
            f"{means['worth']:.3f}",
            f"{means['earned']:.4f}",
            f"{means['windows']:.3f}",
            f"{means['queue']:.3f}",
            f"{means['machine_s']:.0f}",
            f"{means['moves']:.0f}",
            _format(row.worth) if row.worth else "",
            _format(row.earned) if row.earned else "",
        ]
        lines.append(f"| {' | '.join(cell.strip() for cell in cells)} |")
    return "\n".join(lines) + "\n"


def _values(worths: list[Worth], name: str) -> list[float]:
    return [getattr(item, name) for item in worths]


def _difference(worths: list[Worth], base: list[Worth], name: str) -> Difference:
    return paired_difference(_values(worths, name), _values(base, name))


def _format(difference: Difference) -> str:
    mark = "*" if difference.is_significant else " "
    half = (difference.high - difference.low) / 2
    return f"{difference.mean:+.4f} +- {half:.4f}{mark}"
