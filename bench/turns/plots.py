"""Plots one simulated day of each variant: demand, machines and waiting jobs."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # writes files only

from matplotlib import pyplot as plt  # noqa: E402

from .runner import DayResult  # noqa: E402

SERIES = (
    ("machines", "machines", 1),
    ("demand_cpu_m", "demand, cores", 1000),
    ("idle", "machines without runs", 1),
    ("waiting", "jobs not started", 1),
)


def plot_day(result: DayResult, folder: Path) -> Path:
    """Write the plot of a day; return its path."""
    figure, axes = plt.subplots(len(SERIES), sharex=True, figsize=(9, 9))
    times = [at_s for at_s, _pools in result.samples]
    for axis, (field, title, unit) in zip(axes, SERIES, strict=True):
        for pool in result.samples[0][1]:
            values = [
                getattr(pools[pool], field) / unit for _at_s, pools in result.samples
            ]
            axis.step(times, values, label=pool, where="post")
        axis.set_ylabel(title)
        axis.grid(True, alpha=0.3)
    axes[0].legend(loc="upper right", ncols=4)
    axes[-1].set_xlabel("seconds")
    day = result.day
    figure.suptitle(f"{day.fleet}, {day.variant}, seed {day.seed}")
    path = folder / f"{day.fleet}-{day.variant}-{day.seed}.png"
    figure.savefig(path, dpi=90, bbox_inches="tight")
    plt.close(figure)
    return path
