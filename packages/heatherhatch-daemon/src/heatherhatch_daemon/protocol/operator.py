"""The operators' API: changes, keys, status, plan, audit trail."""

import dataclasses
from dataclasses import dataclass

import falcon

from heatherhatch_core.api import (
    AuditPage,
    ChangeAnswer,
    ChangeRequest,
    InForce,
    NodeStatus,
    Status,
)
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError
from heatherhatch_core.keys import secret_matches, split_token
from heatherhatch_core.state.changes import check_edit
from heatherhatch_core.state.entities import OperatorKey, Role

from ..tasks.follower import Follower
from ..tasks.gateway import Gateway
from ..tasks.heartbeats import Heartbeats
from ..tasks.job_runner import JobRunner
from ..tasks.planner import FleetPlanner
from .bodies import bearer_token, read_message, write_message
from .fleet import PlanResource, check_operator_steps
from .jobs import OperatorJobsResource
from .problems import new_app

FIRST_OPERATOR = "first"


@dataclass(frozen=True, slots=True)
class OperatorServices:
    """What the operators' API works on.

    Attributes:
        follower: Configuration log.
        heartbeats: View of the other nodes.
        gateway: Requests of this node.
        runner: Long jobs.
        planner: Plan of the fleet.
        first_operator_digest: Digest of the key named ``first``.
        body_bytes: Largest body.
    """

    follower: Follower
    heartbeats: Heartbeats
    gateway: Gateway
    runner: JobRunner
    planner: FleetPlanner
    first_operator_digest: str
    body_bytes: int


def operator_app(services: OperatorServices) -> falcon.App:
    """Return the application that operators talk to."""
    app = new_app()
    app.add_route("/v1/changes", ChangesResource(services))
    app.add_route("/v1/config", ConfigResource(services))
    app.add_route("/v1/status", StatusResource(services))
    app.add_route("/v1/audit", AuditResource(services))
    app.add_route("/v1/in-force", InForceResource(services))
    authorize = OperatorResource(services).operator
    app.add_route("/v1/plan", PlanResource(services.planner, authorize))
    jobs = OperatorJobsResource(services.runner, authorize, services.body_bytes)
    app.add_route("/v1/jobs", jobs)
    app.add_route("/v1/jobs/cancel", jobs, suffix="cancel")
    return app


class OperatorResource:
    """Base of the resources: knows who asks."""

    def __init__(self, services: OperatorServices):
        self.services = services

    def operator(
        self, request: falcon.Request, role: Role, with_standing: bool = True
    ) -> str:
        """Return the name of the operator whose key came with a request.

        Args:
            request: Request of an operator.
            role: Role that is needed.
            with_standing: False if the answer may come from a node that does
                not know whether the key was withdrawn meanwhile.

        Raises:
            HeatherhatchError: ``NO_STANDING``, ``UNAUTHENTICATED`` or
                ``FORBIDDEN``.
        """
        if with_standing and not self.services.follower.has_standing():
            raise HeatherhatchError(ErrorKind.NO_STANDING)
        key_id, secret = split_token(bearer_token(request))
        key = self._operator_key(key_id)
        if key is None or not secret_matches(secret, key.digest):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        if role is Role.OPERATOR and key.role is not Role.OPERATOR:
            raise HeatherhatchError(ErrorKind.FORBIDDEN, f"role {key.role.value}")
        return key.operator

    def _operator_key(self, key_id: str) -> OperatorKey | None:
        keys = self.services.follower.config.operator_keys
        digest = self.services.first_operator_digest
        if not keys and digest and key_id == FIRST_OPERATOR:
            return OperatorKey(key_id, FIRST_OPERATOR, Role.OPERATOR, digest)
        return keys.get(key_id)


class ChangesResource(OperatorResource):
    """Accepts changes of the configuration."""

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept or check one change."""
        actor = self.operator(request, Role.OPERATOR)
        wish = read_message(request, ChangeRequest, self.services.body_bytes)
        follower = self.services.follower
        check_operator_steps(follower.config, wish.edit)
        if wish.dry_run:
            check_edit(follower.config, wish.edit)
            write_message(response, ChangeAnswer(0))
            return
        seq = follower.append(
            wish.change_id, actor, wish.reason, wish.edit, wish.base_seq
        )
        write_message(response, ChangeAnswer(seq))


class InForceResource(OperatorResource):
    """Tells how far a change has come."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the nodes that may still act on an earlier configuration."""
        self.operator(request, Role.VIEWER)
        seq = request.get_param_as_int("seq", required=True, min_value=0)
        services = self.services
        known = services.follower.in_force(seq)
        missing = () if known.everywhere else known.missing
        if not known.everywhere and not missing:
            missing = (services.heartbeats.registrar.entry.name,)
        write_message(response, InForce(seq, missing))


class ConfigResource(OperatorResource):
    """Shows the configuration."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the configuration without the digests of keys."""
        self.operator(request, Role.VIEWER)
        config = self.services.follower.config
        hidden = dataclasses.replace(
            config,
            team_keys={
                name: dataclasses.replace(key, digest="")
                for name, key in config.team_keys.items()
            },
            operator_keys={
                name: dataclasses.replace(key, digest="")
                for name, key in config.operator_keys.items()
            },
        )
        write_message(response, hidden)


class StatusResource(OperatorResource):
    """Shows the nodes."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the status as this node sees it."""
        # Operators need this page most while the node is cut off.
        self.operator(request, Role.VIEWER, with_standing=False)
        heartbeats = self.services.heartbeats
        follower = self.services.follower
        now = heartbeats.clock()
        nodes = []
        own = heartbeats.registrar.entry.name
        for entry in heartbeats.registrar.nodes.values():
            if entry.name == own:
                continue
            view = heartbeats.views.get(entry.name)
            seq = view.seq if view else -1
            heard = now - view.asked_s if view else -1.0
            nodes.append(NodeStatus(entry.name, entry.data_centre, seq, heard))
        status = Status(
            own,
            follower.config.seq,
            follower.has_standing(),
            self.services.gateway.total_running,
            tuple(nodes),
            not follower.standing.lost(now),
        )
        write_message(response, status)


class AuditResource(OperatorResource):
    """Shows the audit trail."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the accepted changes in order."""
        self.operator(request, Role.VIEWER)
        changes = self.services.follower.log_store.audit()
        write_message(response, AuditPage(changes))
