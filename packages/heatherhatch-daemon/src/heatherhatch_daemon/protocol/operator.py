"""HTTP API for operators: changes, configuration, status, plan, jobs, audit trail."""

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
from ..tasks.job_service import JobService
from ..tasks.planner import FleetPlanner
from .bodies import bearer_token, read_message, write_message
from .fleet import PlanResource, check_operator_steps
from .jobs import OperatorJobsResource
from .problems import new_app

FIRST_OPERATOR = "first"


@dataclass(frozen=True, slots=True)
class OperatorServices:
    """Dependencies of the API for operators.

    Attributes:
        follower: Provides the configuration log and accepts changes.
        heartbeats: Provides the status of the other nodes.
        gateway: Provides the number of requests running on this node.
        job_service: Lists and cancels long jobs.
        planner: Provides the plan of the fleet.
        first_operator_digest: Digest of the key with the id ``first``, which is
            valid until an operator key is configured.
        body_bytes: Maximum size of a request body, bytes.
    """

    follower: Follower
    heartbeats: Heartbeats
    gateway: Gateway
    job_service: JobService
    planner: FleetPlanner
    first_operator_digest: str
    body_bytes: int


def operator_app(services: OperatorServices) -> falcon.App:
    """Return the WSGI application that serves operators."""
    app = new_app()
    app.add_route("/v1/changes", ChangesResource(services))
    app.add_route("/v1/config", ConfigResource(services))
    app.add_route("/v1/status", StatusResource(services))
    app.add_route("/v1/audit", AuditResource(services))
    app.add_route("/v1/in-force", InForceResource(services))
    authorize = OperatorResource(services).operator
    app.add_route("/v1/plan", PlanResource(services.planner, authorize))
    jobs = OperatorJobsResource(services.job_service, authorize, services.body_bytes)
    app.add_route("/v1/jobs", jobs)
    app.add_route("/v1/jobs/cancel", jobs, suffix="cancel")
    return app


class OperatorResource:
    """Base class of the resources; authenticates operators."""

    def __init__(self, services: OperatorServices):
        self.services = services

    def operator(
        self, request: falcon.Request, role: Role, require_standing: bool = True
    ) -> str:
        """Return the name of the operator that sent a request.

        Args:
            request: Request of an operator.
            role: Required role.
            require_standing: False to also accept the request on a node whose
                configuration may be out of date, so that the key may have been
                revoked since.

        Raises:
            HeatherhatchError: ``NO_STANDING`` if the configuration may be out of
                date, ``UNAUTHENTICATED`` if the key is missing or not valid,
                ``FORBIDDEN`` if it does not have the role.
        """
        if require_standing and not self.services.follower.has_standing():
            raise HeatherhatchError(ErrorKind.NO_STANDING)
        key_id, secret = split_token(bearer_token(request))
        key = self._operator_key(key_id)
        if key is None or not secret_matches(secret, key.digest):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED)
        if role is Role.OPERATOR and key.role is not Role.OPERATOR:
            raise HeatherhatchError(
                ErrorKind.FORBIDDEN, f"not allowed for role {key.role.value}"
            )
        return key.operator

    def _operator_key(self, key_id: str) -> OperatorKey | None:
        keys = self.services.follower.config.operator_keys
        digest = self.services.first_operator_digest
        if not keys and digest and key_id == FIRST_OPERATOR:
            return OperatorKey(key_id, FIRST_OPERATOR, Role.OPERATOR, digest)
        return keys.get(key_id)


class ChangesResource(OperatorResource):
    """Accepts changes to the configuration."""

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept one change, or only validate it in a dry run."""
        actor = self.operator(request, Role.OPERATOR)
        change_request = read_message(request, ChangeRequest, self.services.body_bytes)
        follower = self.services.follower
        check_operator_steps(follower.config, change_request.edit)
        if change_request.dry_run:
            check_edit(follower.config, change_request.edit)
            write_message(response, ChangeAnswer(0))
            return
        seq = follower.append(
            change_request.change_id,
            actor,
            change_request.reason,
            change_request.edit,
            change_request.base_seq,
        )
        write_message(response, ChangeAnswer(seq))


class InForceResource(OperatorResource):
    """Shows how far a change is in force on the nodes."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the nodes that may still act on an earlier configuration."""
        self.operator(request, Role.VIEWER)
        seq = request.get_param_as_int("seq", required=True, min_value=0)
        services = self.services
        in_force_state = services.follower.in_force(seq)
        missing = () if in_force_state.everywhere else in_force_state.missing
        if not in_force_state.everywhere and not missing:
            missing = (services.heartbeats.registrar.entry.name,)
        write_message(response, InForce(seq, missing))


class ConfigResource(OperatorResource):
    """Shows the configuration."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the configuration without the digests of keys."""
        self.operator(request, Role.VIEWER)
        config = self.services.follower.config
        redacted = dataclasses.replace(
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
        write_message(response, redacted)


class StatusResource(OperatorResource):
    """Shows the status of the nodes."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the status as this node sees it."""
        # Operators need the status most while the node is disconnected, so it does not
        # require standing.
        self.operator(request, Role.VIEWER, require_standing=False)
        heartbeats = self.services.heartbeats
        follower = self.services.follower
        now = heartbeats.clock()
        nodes = []
        own_name = heartbeats.registrar.entry.name
        for entry in heartbeats.registrar.nodes.values():
            if entry.name == own_name:
                continue
            view = heartbeats.views.get(entry.name)
            seq = view.seq if view else -1
            age_s = now - view.sent_s if view else -1.0
            nodes.append(NodeStatus(entry.name, entry.data_centre, seq, age_s))
        status = Status(
            own_name,
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
