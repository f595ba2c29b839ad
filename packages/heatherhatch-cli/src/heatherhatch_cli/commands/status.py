"""The command that shows the status of the nodes."""

import click

from heatherhatch_core.api import NodeStatus, Status

from ..context import Context, output_option


@click.command()
@output_option
def status(context: Context) -> None:
    """Show the status of all nodes as seen by the queried node."""
    answer = context.client.get("/v1/status", Status)
    queried = NodeStatus(answer.node, "(queried)", answer.seq, 0.0)
    context.show(answer, (queried, *answer.nodes))
    if context.output == "table":
        standing = "up to date" if answer.standing else "NOT known to be up to date"
        click.echo(f"{answer.node} is {standing}; {answer.running} requests running")
        if not answer.store_answers:
            click.echo(
                "the store does not answer: work continues, changes cannot be accepted"
            )
