"""Numbered log events and the logger that writes them."""

import sys
from dataclasses import dataclass
from enum import Enum

import eliot


@dataclass(frozen=True, slots=True)
class EventInfo:
    """One row of the catalogue.

    Attributes:
        number: Stable number, never reused.
        meaning: What happened, in one sentence.
    """

    number: int
    meaning: str


class Event(Enum):
    """Every event that the daemon logs."""

    STARTED = EventInfo(1001, "The daemon listens and has read its settings.")
    STOPPING = EventInfo(1002, "A graceful shutdown has begun.")
    STOPPED = EventInfo(1003, "The daemon has ended; no request was cut.")
    STOP_FORCED = EventInfo(1004, "The grace time ran out with requests open.")
    REGISTERED = EventInfo(1101, "The node wrote its entry in the store.")
    REGISTRATION_LOST = EventInfo(1102, "The node's entry or lease has lapsed.")
    NODE_FORGOTTEN = EventInfo(1103, "A member that is gone left the registry.")
    STORE_LOST = EventInfo(1201, "The store has stopped answering.")
    STORE_BACK = EventInfo(1202, "The store answers again.")
    STANDING_LOST = EventInfo(1203, "The node may be out of date.")
    STANDING_BACK = EventInfo(1204, "The node is up to date again.")
    CHANGE_ACCEPTED = EventInfo(1301, "This node accepted a change.")
    CHANGE_APPLIED = EventInfo(1302, "A change is in force on this node.")
    PLANNER_TAKEN = EventInfo(1401, "This node carries out the plan from now on.")
    PLANNER_LOST = EventInfo(1402, "This node's claim to carry out the plan lapsed.")
    SHORTFALL = EventInfo(1411, "A budget can't be held; the event says what would.")
    DRAIN_HELD_BACK = EventInfo(1412, "A drain is due, but the budget has no room.")
    RELEASE_LATE = EventInfo(1413, "A wave began before its worker was surely drained.")
    STEP_REFUSED = EventInfo(1414, "A step of the plan was refused by the log.")
    WORKER_FAILED = EventInfo(1421, "A worker was recorded as failed or lost.")
    FAILURES_DOUBTED = EventInfo(1422, "So many fail that this node may be cut off.")
    CLAIM_TAKEN = EventInfo(1501, "This node dispatches long jobs from now on.")
    CLAIM_LOST = EventInfo(1502, "This node's claim to dispatch jobs has lapsed.")
    WORKER_QUARANTINED = EventInfo(1511, "Jobs of several teams fail on a worker.")
    WORKER_TRUSTED = EventInfo(1512, "A trial ended a worker's quarantine.")
    JOBS_RELIEVED = EventInfo(1521, "Long jobs of a pool make way, or get it back.")
    GRANT_RECLAIMED = EventInfo(2001, "The grant of a node that is gone came back.")
    TASK_FAILED = EventInfo(1901, "A task failed and is started again.")
    REQUEST_FAILED = EventInfo(1902, "A request ended in an internal error.")


def open_log(path: str) -> None:
    """Send events to a file, or to standard error if the path is empty."""
    if path:
        # The log stays open for as long as the process lives.
        eliot.to_file(open(path, "ab", buffering=0))  # noqa: SIM115
    else:
        eliot.to_file(sys.stderr.buffer)


def log(event: Event, **details: object) -> None:
    """Write one event.

    Args:
        event: Entry of the catalogue.
        details: Named facts; never a secret.
    """
    eliot.log_message(
        message_type=f"heatherhatch:{event.name.lower()}",
        event=event.value.number,
        **details,
    )
