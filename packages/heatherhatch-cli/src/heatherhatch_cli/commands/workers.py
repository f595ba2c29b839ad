"""Commands for workers and for state transitions started by operators."""

import time
from dataclasses import dataclass

import click

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Assignment, Cause, Worker, WorkerState

from ..context import ChangeOptions, Context, change_options, output_option


@dataclass(frozen=True, slots=True)
class WorkerRow:
    """One line of the list of workers."""

    worker_id: str
    pool: str
    state: WorkerState
    failure_domain: str
    rack: str
    address: str
    cause: str


@dataclass(frozen=True, slots=True)
class Transition:
    """One transition of a worker to a state."""

    state: WorkerState
    cause: Cause


# The transitions that return a worker to service, by its current state.
RETURN_TRANSITIONS = {
    WorkerState.DRAINING: (Transition(WorkerState.SERVING, Cause.CANCELLED),),
    WorkerState.DRAINED: (Transition(WorkerState.SERVING, Cause.CANCELLED),),
    WorkerState.MAINTENANCE: (
        Transition(WorkerState.RETURNING, Cause.OPERATOR),
        Transition(WorkerState.SERVING, Cause.OPERATOR),
    ),
    WorkerState.RETURNING: (Transition(WorkerState.SERVING, Cause.OPERATOR),),
    WorkerState.FAILED: (
        Transition(WorkerState.RETURNING, Cause.RECOVERY),
        Transition(WorkerState.SERVING, Cause.OPERATOR),
    ),
    WorkerState.LOST: (
        Transition(WorkerState.RETURNING, Cause.RECOVERY),
        Transition(WorkerState.SERVING, Cause.OPERATOR),
    ),
}


@click.group()
def worker() -> None:
    """Workers, their pools and states."""


@worker.command("set")
@click.argument("worker_id")
@click.option(
    "--pool", "home_pool", required=True, help="Pool of the worker until it is moved."
)
@click.option("--address", required=True, help="host:port of its backend server.")
@click.option("--control", default="", help="host:port of its task control endpoint.")
@click.option("--failure-domain", required=True)
@click.option("--rack", required=True)
@click.option("--cpus", type=click.IntRange(min=1), default=32, show_default=True)
@click.option("--memory-mb", type=click.IntRange(min=1), default=65536)
@click.option("--accelerators", type=click.IntRange(min=0), default=0)
@change_options
@click.pass_obj
def set_worker(context: Context, options: ChangeOptions, **attributes) -> None:
    """Create or replace a worker.

    \b
    Example:
      heatherhatch worker set bala-7 --pool bala --address 10.0.3.7:8000 \\
          --failure-domain dc-3 --rack dc-3-rack-2
    """
    context.change(Edit(workers=(Worker(**attributes),)), options)


@worker.command("remove")
@click.argument("worker_id")
@change_options
@click.pass_obj
def remove_worker(context: Context, worker_id: str, options: ChangeOptions) -> None:
    """Remove a worker that is drained."""
    context.change(Edit(removals=(Removal("worker", worker_id),)), options)


@worker.command("list")
@click.option("--pool", default="", help="Only this pool.")
@click.option("--state", type=click.Choice([item.value for item in WorkerState]))
@output_option
def list_workers(context: Context, pool: str, state: str | None) -> None:
    """List the workers."""
    config = context.configuration()
    rows = []
    for name in sorted(config.workers):
        entry = config.workers[name]
        current_state = config.state_of(name)
        if pool and config.pool_of(name) != pool:
            continue
        if state and current_state.value != state:
            continue
        assignment = config.assignments.get(name)
        rows.append(
            WorkerRow(
                name,
                config.pool_of(name),
                current_state,
                entry.failure_domain,
                entry.rack,
                entry.address,
                _cause_text(assignment),
            )
        )
    context.show(rows, rows)


@worker.command("drain")
@click.argument("worker_id")
@change_options
@click.pass_obj
def drain(context: Context, worker_id: str, options: ChangeOptions) -> None:
    """Stop new work on a worker, if the availability budget of its pool allows it.

    \b
    Example:
      heatherhatch worker drain bala-2 --reason "fan is loud" --wait
    """
    transition = Transition(WorkerState.DRAINING, Cause.OPERATOR)
    _change_state(context, worker_id, transition, options)


@worker.command("release")
@click.argument("worker_id")
@change_options
@click.pass_obj
def release(context: Context, worker_id: str, options: ChangeOptions) -> None:
    """Record that a drained worker is released for maintenance."""
    transition = Transition(WorkerState.MAINTENANCE, Cause.OPERATOR)
    _change_state(context, worker_id, transition, options)


@worker.command("return")
@click.argument("worker_id")
@change_options
@click.pass_obj
def return_worker(context: Context, worker_id: str, options: ChangeOptions) -> None:
    """Return a worker to service in its pool, from any state.

    \b
    Example:
      heatherhatch worker return bala-2 --reason "new fan"
    """
    state = context.configuration().state_of(worker_id)
    if state is WorkerState.SERVING:
        raise click.UsageError(f"{worker_id} is already serving")
    for transition in RETURN_TRANSITIONS[state]:
        _change_state(context, worker_id, transition, options)


def _change_state(
    context: Context, worker_id: str, transition: Transition, options: ChangeOptions
) -> None:
    config = context.configuration()
    if worker_id not in config.workers:
        raise click.BadParameter(f"no worker {worker_id!r}", param_hint="WORKER_ID")
    current = config.assignments.get(worker_id)
    assignment = Assignment(
        worker_id,
        config.pool_of(worker_id),
        transition.state,
        transition.cause,
        detail=options.reason,
        since_s=time.time(),
        replaces=current.seq if current else 0,
    )
    context.change(Edit(assignments=(assignment,)), options)


def _cause_text(assignment: Assignment | None) -> str:
    if assignment is None:
        return ""
    return " ".join((assignment.cause.value, assignment.detail)).strip()
