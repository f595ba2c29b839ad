"""Stand-in for the platform's list of live and leaving instances, shown with a lag."""

import time
from dataclasses import dataclass

import click
import falcon

from heatherhatch_core.codec import decode_json, encode_json

from .faults import FAULTS_PATH, FaultBox, FaultsResource
from .serving import ConnectionDroppedError, new_app, serve


@dataclass(frozen=True, slots=True)
class Member:
    """One instance in the list.

    Attributes:
        name: Unique name of the instance.
        state: ``live`` or ``leaving``.
    """

    name: str
    state: str = "live"


class MemberList:
    """All versions of the list with the time of each.

    Args:
        box: Faults; ``lag_s`` is the age of the returned list in seconds.
        clock: Function that returns monotonic seconds.
    """

    def __init__(self, box: FaultBox, clock=time.monotonic):
        self.box = box
        self.clock = clock
        self.versions: list[tuple[float, tuple[Member, ...]]] = [(clock(), ())]

    def replace(self, members: tuple[Member, ...]) -> None:
        """Add a new version of the list."""
        self.versions.append((self.clock(), members))

    def shown(self) -> tuple[Member, ...]:
        """Return the list as it was ``lag_s`` ago."""
        then = self.clock() - self.box.faults.lag_s
        seen = [members for at, members in self.versions if at <= then]
        return seen[-1] if seen else ()


class MembersResource:
    """Serves and replaces the list."""

    def __init__(self, members: MemberList):
        self.members = members

    def on_get(self, _request, response):
        """Return the list as it was ``lag_s`` ago."""
        if self.members.box.faults.down:
            raise ConnectionDroppedError
        response.data = encode_json(self.members.shown())

    def on_put(self, request, response):
        """Replace the list."""
        body = request.bounded_stream.read()
        self.members.replace(decode_json(body, tuple[Member, ...]))
        response.status = falcon.HTTP_204


def members_app(members: MemberList) -> falcon.App:
    """Return the application of a member list stand-in."""
    app = new_app()
    app.add_route(FAULTS_PATH, FaultsResource(members.box))
    app.add_route("/members", MembersResource(members))
    return app


@click.command()
@click.option("--port", default=0)
def main(port: int) -> None:
    """Run a member list stand-in."""
    serve((members_app(MemberList(FaultBox())),), port)


if __name__ == "__main__":
    main()
