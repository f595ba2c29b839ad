"""Operators disable a mechanism that harms them, and see on each node which are off.

Guards against a misspelt gate that silently leaves a mechanism enabled.
"""

import pytest

from heatherhatch_core.coordination.pool_sizes import (
    FleetView,
    PoolNeed,
    PoolSizer,
    SizeRules,
)
from heatherhatch_core.feature_gates import (
    ALL_ENABLED,
    FeatureGateError,
    FeatureGates,
    parse_feature_gates,
)
from heatherhatch_core.state.maintenance import Machine, MachineState
from heatherhatch_core.state.resources import Resources
from heatherhatch_daemon.metrics import Metric
from heatherhatch_platform.main import read_arguments
from pool_model import RULES, PoolModel, make_job, make_step


def test_gates_that_are_not_named_are_enabled():
    gates = parse_feature_gates("copies=off, handover=on")
    assert gates == FeatureGates(copies=False)
    assert gates.disabled() == ("copies",)
    assert parse_feature_gates("") == ALL_ENABLED


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("copy=off", 'feature gate "copy" does not exist'),
        ("copies", 'state "" of feature gate "copies"'),
        ("copies=no", 'state "no" of feature gate "copies"'),
        ("copies=on,copies=off", 'feature gate "copies" is given twice'),
    ],
)
def test_an_error_names_the_gate(text, problem):
    with pytest.raises(FeatureGateError, match=problem):
        parse_feature_gates(text)


def test_the_command_line_sets_the_gates(capsys):
    assert read_arguments([]).gates == ALL_ENABLED
    arguments = read_arguments(["--metrics", "9464", "--gates", "preemption=off"])
    assert arguments.metrics == 9464
    assert arguments.gates.disabled() == ("preemption",)
    with pytest.raises(SystemExit):
        read_arguments(["--gates", "preemptoin=off"])
    assert 'feature gate "preemptoin" does not exist' in capsys.readouterr().err


def demand_cpu_m(gates: FeatureGates) -> int:
    """Return the demand of a pool just after eight wide jobs have ended."""
    model = PoolModel(workers=8, cores=8)
    model.scheduler.state.rules = type(RULES)(gates=gates)
    for number in range(8):
        model.add(make_job(make_step(8, cores=1), job_id=f"j{number}"))
    model.finish()
    return model.scheduler.demand(model.now_s, model.now_s).cpu_m


def test_gates_of_the_demand_change_what_a_pool_asks_for():
    assert demand_cpu_m(ALL_ENABLED) > 0
    assert demand_cpu_m(FeatureGates(arrival_rate=False)) == 0


def test_without_the_urgency_reserve_patient_pools_keep_the_whole_reserve():
    machines = {
        f"m{number}": Machine(
            f"m{number}", "red", MachineState.UP, capacity=Resources(16_000, 1)
        )
        for number in range(80)
    }
    fleet = FleetView(machines, {"red": PoolNeed("red", 0, urgent_share=0.0)}, "off")
    targets = [
        PoolSizer(SizeRules(gates=gates)).target_cpu_m(fleet, "red")
        for gates in (ALL_ENABLED, FeatureGates(urgency_reserve=False))
    ]
    assert targets[0] < targets[1]


def test_there_is_a_metric_for_the_state_of_the_gates():
    assert "by name" in Metric.FEATURE_GATE.value
