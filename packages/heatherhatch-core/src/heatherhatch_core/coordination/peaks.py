"""Sliding maximum of a value for each name."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Peak:
    begun_s: float
    present: int
    previous: int


class Peaks:
    """Keeps the highest value of each name for one to two periods.

    Args:
        period_s: Minimum time for which a value counts, seconds.
    """

    def __init__(self, period_s: float):
        self.period_s = period_s
        self.peaks: dict[str, _Peak] = {}

    def add(self, name: str, value: int, now_s: float) -> None:
        """Record a value of a name."""
        peak = self._shifted(name, now_s)
        if value or peak.present or peak.previous:
            highest = max(value, peak.present)
            self.peaks[name] = _Peak(peak.begun_s, highest, peak.previous)
        else:
            self.peaks.pop(name, None)

    def of(self, name: str, now_s: float) -> int:
        """Return the highest recent value of a name; 0 if there is none."""
        peak = self._shifted(name, now_s)
        return max(peak.present, peak.previous)

    def _shifted(self, name, now_s):
        peak = self.peaks.get(name)
        if peak is None or now_s - peak.begun_s >= 2 * self.period_s:
            return _Peak(now_s, 0, 0)
        if now_s - peak.begun_s >= self.period_s:
            return _Peak(peak.begun_s + self.period_s, 0, peak.present)
        return peak
