"""The command line that operators use."""

import sys

import click

from heatherhatch_core.api import (
    AuditPage,
    ChangeAnswer,
    ChangeRequest,
    JobPage,
    KeyAnswer,
    KeyRequest,
    PlanAnswer,
    Status,
)
from heatherhatch_core.exceptions import HeatherhatchError
from heatherhatch_core.state.changes import Edit, Removal
from heatherhatch_core.state.configuration import Configuration
from heatherhatch_core.state.entities import (
    Pool,
    Team,
    Wave,
    WorkClass,
    Worker,
    WorkKind,
)

from .client import Client, new_change_id
from .output import FORMATS, show


class Context:
    """What every command needs: the client and the output format."""

    def __init__(self, client: Client, output: str, reason: str, dry_run: bool):
        self.client = client
        self.output = output
        self.reason = reason
        self.dry_run = dry_run

    def change(self, edit: Edit) -> None:
        """Send an edit and print its position in the log."""
        request = ChangeRequest(new_change_id(), edit, self.reason, self.dry_run)
        answer = self.client.post("/v1/changes", request, ChangeAnswer)
        show(answer, (answer,), self.output)


class ErrorGroup(click.Group):
    """A group that ends with the exit code of an error's kind."""

    def invoke(self, ctx):
        """Run a command; print errors in one line."""
        try:
            return super().invoke(ctx)
        except HeatherhatchError as error:
            click.echo(f"error {error.answer.code}: {error}", err=True)
            sys.exit(error.answer.exit_code)


@click.group(cls=ErrorGroup)
@click.option("--address", envvar="HEATHERHATCH_ADDRESS", required=True)
@click.option("--token", envvar="HEATHERHATCH_TOKEN", required=True)
@click.option("--output", type=click.Choice(FORMATS), default="table")
@click.option("--reason", default="", help="Why, for the audit trail.")
@click.option("--dry-run", is_flag=True, help="Check a change only.")
@click.pass_context
def main(ctx, address, token, output, reason, dry_run):
    """Operate a heatherhatch system."""
    ctx.obj = Context(Client(address, token), output, reason, dry_run)


@main.group()
def pool():
    """Pools of workers."""


@pool.command("set")
@click.argument("name")
@click.option("--min-available", type=int, required=True)
@click.option("--spare", is_flag=True)
@click.pass_obj
def pool_set(context, name, min_available, spare):
    """Create or replace a pool."""
    context.change(Edit(pools=(Pool(name, min_available, spare),)))


@main.group()
def worker():
    """Workers."""


@worker.command("set")
@click.argument("worker_id")
@click.option("--pool", "home_pool", required=True)
@click.option("--address", required=True)
@click.option("--control", default="")
@click.option("--failure-domain", default="fd-1")
@click.option("--rack", default="rack-1")
@click.pass_obj
def worker_set(context, worker_id, home_pool, address, control, failure_domain, rack):
    """Create or replace a worker."""
    entry = Worker(worker_id, failure_domain, rack, address, home_pool, control)
    context.change(Edit(workers=(entry,)))


@main.group()
def team():
    """Teams."""


@team.command("set")
@click.argument("name")
@click.option("--share", type=float, default=1.0)
@click.option("--limit", type=int, required=True)
@click.pass_obj
def team_set(context, name, share, limit):
    """Create or replace a team."""
    context.change(Edit(teams=(Team(name, share, limit),)))


@main.group()
def key():
    """Keys of teams."""


@key.command("grant")
@click.argument("team_name")
@click.pass_obj
def key_grant(context, team_name):
    """Make a key for a team; its token is shown this once."""
    request = KeyRequest(new_change_id(), team_name, context.reason)
    answer = context.client.post("/v1/team-keys", request, KeyAnswer)
    show(answer, (answer,), context.output)


@key.command("withdraw")
@click.argument("key_id")
@click.pass_obj
def key_withdraw(context, key_id):
    """Withdraw a key."""
    context.change(Edit(removals=(Removal("team-key", key_id),)))


@main.group("class")
def work_class():
    """Classes of work."""


@work_class.command("set")
@click.argument("name")
@click.option("--pool", "pool_name", required=True)
@click.option("--kind", type=click.Choice(["request", "job"]), default="request")
@click.option("--target-s", type=float, required=True)
@click.option("--on-time-share", type=float, default=0.99)
@click.option("--idempotent", is_flag=True)
@click.option("--open", "is_open", is_flag=True)
@click.pass_obj
def class_set(
    context, name, pool_name, kind, target_s, on_time_share, idempotent, is_open
):
    """Create or replace a class of work."""
    entry = WorkClass(
        name, pool_name, WorkKind(kind), target_s, on_time_share, idempotent, is_open
    )
    context.change(Edit(classes=(entry,)))


@main.group()
def wave():
    """Maintenance waves."""


@wave.command("set")
@click.argument("wave_id")
@click.option("--start-s", type=float, required=True)
@click.option("--end-s", type=float, required=True)
@click.option("--worker", "workers", multiple=True, required=True)
@click.pass_obj
def wave_set(context, wave_id, start_s, end_s, workers):
    """Announce a wave."""
    context.change(Edit(waves=(Wave(wave_id, start_s, end_s, tuple(workers)),)))


@main.command()
@click.pass_obj
def plan(context):
    """Show the plan for the announced waves."""
    answer = context.client.get("/v1/plan", PlanAnswer)
    show(answer, answer.plan.moves, context.output)


@main.command()
@click.pass_obj
def status(context):
    """Show the nodes."""
    answer = context.client.get("/v1/status", Status)
    show(answer, answer.nodes, context.output)


@main.command()
@click.pass_obj
def jobs(context):
    """Show long jobs."""
    answer = context.client.get("/v1/jobs", JobPage)
    show(answer, answer.jobs, context.output)


@main.command()
@click.pass_obj
def audit(context):
    """Show the audit trail."""
    answer = context.client.get("/v1/audit", AuditPage)
    show(answer, answer.changes, context.output)


@main.command()
@click.pass_obj
def config(context):
    """Show the configuration."""
    answer = context.client.get("/v1/config", Configuration)
    show(answer, tuple(answer.pools.values()), context.output)


if __name__ == "__main__":
    main()
