"""Switches by which operators disable optional mechanisms.

A mechanism that keeps a guarantee has no switch.
"""

import dataclasses
from dataclasses import dataclass

ON = "on"
OFF = "off"


class FeatureGateError(ValueError):
    """A text that does not name feature gates and their states."""


@dataclass(frozen=True, slots=True)
class FeatureGates:
    """Which optional mechanisms are enabled.

    Attributes:
        arrival_rate: The demand of a pool is at least the work that arrives.
        arrival_rejection: Jobs that certainly miss every deadline are rejected.
        await_start: A fleet that starts is not resized for machines that come up.
        copies: Slow tasks get a second run.
        deadline_demand: Waiting work counts by what it needs to be on time.
        handover: Late work hands machines over to work that can be on time.
        hedged_calls: Calls to the store without an answer are sent again.
        learned_run_times: Learned run times correct the callers' estimates.
        packed_demand: Tasks that leave a part of each machine unused count with it.
        preemption: Tasks with checkpoints stop for jobs that would be late.
        recent_shares: Teams that used more than their share go behind the others.
        spread_returns: Refused callers are told to return one after the other.
        urgency_reserve: Pools whose work can wait for a machine keep less in reserve.
    """

    arrival_rate: bool = True
    arrival_rejection: bool = True
    await_start: bool = True
    copies: bool = True
    deadline_demand: bool = True
    handover: bool = True
    hedged_calls: bool = True
    learned_run_times: bool = True
    packed_demand: bool = True
    preemption: bool = True
    recent_shares: bool = True
    spread_returns: bool = True
    urgency_reserve: bool = True

    def states(self) -> dict[str, bool]:
        """Return whether each gate is enabled, by name."""
        return dataclasses.asdict(self)

    def disabled(self) -> tuple[str, ...]:
        """Return the names of the disabled gates."""
        return tuple(name for name, enabled in self.states().items() if not enabled)


ALL_ENABLED = FeatureGates()


def parse_feature_gates(text: str) -> FeatureGates:
    """Return the gates that a text describes.

    Args:
        text: Gates with their states, as in ``copies=off,handover=on``; gates that it
            does not name are enabled. Empty to enable all.

    Raises:
        FeatureGateError: If the text names an unknown gate or state, or a gate twice.
    """
    known = ALL_ENABLED.states()
    found: dict[str, bool] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        name, _, state = part.partition("=")
        if name not in known:
            raise FeatureGateError(
                f'feature gate "{name}" does not exist; known are {", ".join(known)}'
            )
        if state not in (ON, OFF):
            raise FeatureGateError(
                f'state "{state}" of feature gate "{name}" is not "{ON}" or "{OFF}"'
            )
        if name in found:
            raise FeatureGateError(f'feature gate "{name}" is given twice')
        found[name] = state == ON
    return FeatureGates(**found)
