"""Keys under which pools keep their records in the store."""

CLAIM_PREFIX = "claims/"
PLAN_KEY = "fleet/plan"
REPORT_PREFIX = "fleet/report/"
STATUS_PREFIX = "status-of-jobs/"
GRANT_PREFIX = "grants/"
CANCEL_SUFFIX = "/cancel"
COORDINATOR = "coordinator"


def claim_key(role: str) -> str:
    """Return the key of the claim on a role."""
    return CLAIM_PREFIX + role


def pool_role(pool: str) -> str:
    """Return the role of the one that runs a pool."""
    return f"pool/{pool}"


def jobs_prefix(pool: str) -> str:
    """Return the prefix of the jobs of a pool that are not final."""
    return f"jobs/{pool}/"


def job_key(pool: str, job_id: str) -> str:
    """Return the key of a job as it was accepted."""
    return jobs_prefix(pool) + job_id


def cancel_key(pool: str, job_id: str) -> str:
    """Return the key that asks for a job's cancellation."""
    return job_key(pool, job_id) + CANCEL_SUFFIX


def runs_prefix(pool: str) -> str:
    """Return the prefix of the progress of a pool's jobs."""
    return f"runs/{pool}/"


def run_key(pool: str, job_id: str) -> str:
    """Return the key of a job's progress."""
    return runs_prefix(pool) + job_id


def status_key(job_id: str) -> str:
    """Return the key of what callers see of a job."""
    return STATUS_PREFIX + job_id


def report_key(pool: str) -> str:
    """Return the key of what a pool's holder tells the rest of the fleet."""
    return REPORT_PREFIX + pool


def grant_key(team: str) -> str:
    """Return the key of the division of a team's limit over the pools."""
    return GRANT_PREFIX + team
