"""Amounts of resources that workers offer and tasks request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of processor time, memory and accelerators.

    Attributes:
        cpu_m: Processor time, thousandths of a core.
        memory_mb: Memory, MB.
        accelerators: Number of accelerators.
    """

    cpu_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_m + other.cpu_m,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_m - other.cpu_m,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return this amount multiplied by ``count``."""
        return Resources(
            self.cpu_m * count, self.memory_mb * count, self.accelerators * count
        )

    def fits(self, free: "Resources") -> bool:
        """Return whether this amount fits into the free capacity in each dimension."""
        return (
            self.cpu_m <= free.cpu_m
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def times_in(self, capacity: "Resources") -> int:
        """Return how often this amount fits into a capacity; 0 if it is empty."""
        pairs = (
            (self.cpu_m, capacity.cpu_m),
            (self.memory_mb, capacity.memory_mb),
            (self.accelerators, capacity.accelerators),
        )
        return min((have // need for need, have in pairs if need > 0), default=0)

    def within(self, limit: "Resources") -> bool:
        """Return whether this amount is within a limit, in which 0 means no limit."""
        return (
            (not limit.cpu_m or self.cpu_m <= limit.cpu_m)
            and (not limit.memory_mb or self.memory_mb <= limit.memory_mb)
            and (not limit.accelerators or self.accelerators <= limit.accelerators)
        )

    def elementwise_min(self, other: "Resources") -> "Resources":
        """Return the smaller amount in each dimension."""
        return Resources(
            min(self.cpu_m, other.cpu_m),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def elementwise_max(self, other: "Resources") -> "Resources":
        """Return the larger amount in each dimension."""
        return Resources(
            max(self.cpu_m, other.cpu_m),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


NO_RESOURCES = Resources()
