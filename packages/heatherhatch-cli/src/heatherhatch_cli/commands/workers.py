"""Workers and the operators' own drains."""

import time
from dataclasses import dataclass

import click

from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.entities import Assignment, Worker, WorkerState

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


@click.group()
def worker() -> None:
    """Workers, their pools and states."""


@worker.command("set")
@click.argument("worker_id")
@click.option("--pool", "home_pool", required=True, help="Pool that it joins first.")
@click.option("--address", required=True, help="host:port of its backend server.")
@click.option("--control", default="", help="host:port of its task control.")
@click.option("--failure-domain", required=True)
@click.option("--rack", required=True)
@click.option("--cpus", type=click.IntRange(min=1), default=32, show_default=True)
@click.option("--memory-mb", type=click.IntRange(min=1), default=65536)
@click.option("--accelerators", type=click.IntRange(min=0), default=0)
@change_options
@click.pass_obj
def set_worker(context: Context, options: ChangeOptions, **facts) -> None:
    """Create or replace a worker.

    \b
    Example:
      heatherhatch worker set bala-7 --pool bala --address 10.0.3.7:8000 \\
          --failure-domain dc-3 --rack dc-3-rack-2
    """
    context.change(Edit(workers=(Worker(**facts),)), options)


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
        now = config.state_of(name)
        if pool and config.pool_of(name) != pool:
            continue
        if state and now.value != state:
            continue
        assignment = config.assignments.get(name)
        rows.append(
            WorkerRow(
                name,
                config.pool_of(name),
                now,
                entry.failure_domain,
                entry.rack,
                entry.address,
                assignment.cause if assignment else "",
            )
        )
    context.show(rows, rows)


@worker.command("drain")
@click.argument("worker_id")
@change_options
@click.pass_obj
def drain(context: Context, worker_id: str, options: ChangeOptions) -> None:
    """Stop new work on a worker, if the pool's budget allows it.

    \b
    Example:
      heatherhatch worker drain bala-2 --reason "fan is loud" --wait
    """
    _assign(context, worker_id, WorkerState.DRAINING, options)


@worker.command("return")
@click.argument("worker_id")
@change_options
@click.pass_obj
def give_back(context: Context, worker_id: str, options: ChangeOptions) -> None:
    """Let a worker serve its pool again."""
    config = context.configuration()
    if config.state_of(worker_id) in (WorkerState.FAILED, WorkerState.LOST):
        _assign(context, worker_id, WorkerState.RETURNING, options)
    _assign(context, worker_id, WorkerState.SERVING, options)


def _assign(
    context: Context, worker_id: str, state: WorkerState, options: ChangeOptions
) -> None:
    config = context.configuration()
    if worker_id not in config.workers:
        raise click.BadParameter(f"no worker {worker_id!r}", param_hint="WORKER_ID")
    cause = options.reason or f"operator asked for {state.value}"
    assignment = Assignment(
        worker_id, config.pool_of(worker_id), state, cause, time.time()
    )
    context.change(Edit(assignments=(assignment,)), options)
