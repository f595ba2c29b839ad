"""What an experiment plays: the fleet, the load and the delays."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The jobs of one queue.

    Attributes:
        pool: Pool that runs them.
        per_s: Mean jobs a second.
        steps: Mean number of steps, one after the other.
        tasks: Mean number of tasks in a step.
        cores: Cores that a task takes.
        task_s: Mean run time of a task, seconds.
        estimate_off: Spread of the stated estimate, as a part of the run time.
        lasting: Tasks that last for the whole time.
        lasting_cores: Cores that one of them takes.
    """

    pool: str
    per_s: float
    steps: float
    tasks: float
    cores: float
    task_s: float
    estimate_off: float = 0.5
    lasting: int = 0
    lasting_cores: float = 3.0


@dataclass(frozen=True, slots=True)
class Experiment:
    """One fleet under one load.

    Attributes:
        name: What is printed.
        loads: The queues; each has its turn after the one before.
        machines: Machines of each working pool at the start.
        standby: Machines that are off at the start.
        machine_cores: Cores of a machine.
        turn_s: Length of a turn, seconds.
        peak: Rate in a queue's turn, in means.
        low: Rate between turns, in means.
        lasts_s: Time that load comes, seconds.
        rest_s: Time after it, in which the rest is done.
        move_s: Time that a move takes, seconds.
        handling_s: From a decision to a task's start, seconds.
        stretch: Objective in lengths of the longest chain.
        target_s: Added to the objective, seconds.
        seed: Seed of the load.
    """

    name: str
    loads: tuple[QueueLoad, ...]
    machines: int
    standby: int
    machine_cores: int = 32
    turn_s: float = 8.0
    peak: float = 4.0
    low: float = 0.05
    lasts_s: float = 34.0
    rest_s: float = 14.0
    move_s: float = 1.5
    handling_s: float = 0.03
    stretch: float = 1.6
    target_s: float = 0.6
    seed: int = 1


SMALL = Experiment(
    "small",
    (
        QueueLoad("tref", 2.9, 1.6, 6, 1.8, 1.0, lasting=20, lasting_cores=0.7),
        QueueLoad("bryn", 0.54, 2.0, 8, 3.8, 1.7, 0.2, lasting=20, lasting_cores=0.7),
        QueueLoad("glan", 3.6, 1.6, 6, 1.8, 1.0, lasting=20, lasting_cores=0.7),
        QueueLoad("pant", 0.66, 2.0, 8, 3.8, 1.7, 0.2, lasting=20, lasting_cores=0.7),
    ),
    machines=6,
    standby=6,
)
GROWN = Experiment(
    "grown",
    (
        QueueLoad("tref", 9.1, 1.6, 8, 3.1, 1.0, lasting=24, lasting_cores=2.7),
        QueueLoad("bryn", 2.2, 2.0, 8, 6.7, 1.7, 0.2, lasting=24, lasting_cores=4.0),
        QueueLoad("glan", 11.4, 1.6, 8, 3.1, 1.0, lasting=24, lasting_cores=5.0),
        QueueLoad("pant", 2.7, 2.0, 8, 6.7, 1.7, 0.2, lasting=24, lasting_cores=4.4),
    ),
    machines=37,
    standby=29,
)
EXPERIMENTS = {item.name: item for item in (SMALL, GROWN)}
