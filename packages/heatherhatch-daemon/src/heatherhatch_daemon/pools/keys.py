"""Keys of the records that pools keep in the store."""

from hashlib import blake2b
from urllib.parse import quote

from heatherhatch_core.state.work import Job, JobStatus

CLAIM_PREFIX = "claims/"
PLAN_KEY = "fleet/plan"
REPORT_PREFIX = "fleet/report/"
STATUS_PREFIX = "status-of-jobs/"
GRANT_PREFIX = "grants/"
JOBS_PREFIX = "jobs/"
RUNS_PREFIX = "runs/"
LEARNED_PREFIX = "learned/"
CANCEL_SUFFIX = "/cancel"
COORDINATOR = "coordinator"
ADDRESS_DIGEST_BYTES = 16


def claim_key(role: str) -> str:
    """Return the key of the claim on a role."""
    return CLAIM_PREFIX + role


def pool_role(pool: str) -> str:
    """Return the name of the role that runs a pool."""
    return f"pool/{pool}"


def jobs_prefix(pool: str) -> str:
    """Return the prefix of the jobs of a pool that have not ended."""
    return f"{JOBS_PREFIX}{pool}/"


def job_key(pool: str, job_id: str) -> str:
    """Return the key of a job's record as it was accepted."""
    return jobs_prefix(pool) + job_id


def cancel_key(pool: str, job_id: str) -> str:
    """Return the key of the request to cancel a job."""
    return job_key(pool, job_id) + CANCEL_SUFFIX


def runs_prefix(pool: str) -> str:
    """Return the prefix of the progress records of a pool's jobs."""
    return f"{RUNS_PREFIX}{pool}/"


def run_key(pool: str, job_id: str) -> str:
    """Return the key of a job's progress record."""
    return runs_prefix(pool) + job_id


def status_key(job_id: str) -> str:
    """Return the key of the status of the first job with an identifier."""
    return STATUS_PREFIX + job_id


def address_status_key(job_id: str, address: str) -> str:
    """Return the key of the status of a later job with an identifier.

    Args:
        job_id: Identifier of the job.
        address: Host and path prefix of its queue, of any length.
    """
    digest = blake2b(address.encode(), digest_size=ADDRESS_DIGEST_BYTES).hexdigest()
    return f"{STATUS_PREFIX}@{digest}/{job_id}"


def queue_status_key(job_id: str, queue: str) -> str:
    """Return the key that earlier versions use for a later job with an identifier."""
    return f"{STATUS_PREFIX}{quote(queue, safe='')}/{job_id}"


def shown_status_key(job_id: str, job: Job | JobStatus) -> str:
    """Return the key of the status of a job that is stored."""
    if not job.shares_id:
        return status_key(job_id)
    if not job.address:
        return queue_status_key(job_id, job.queue)
    return address_status_key(job_id, job.address)


def report_key(pool: str) -> str:
    """Return the key of a pool's report to the fleet."""
    return REPORT_PREFIX + pool


def learned_key(pool: str) -> str:
    """Return the key of the run times that a pool's holders have learned."""
    return LEARNED_PREFIX + pool


def grant_key(team: str) -> str:
    """Return the key of the division of a team's limit among the pools."""
    return GRANT_PREFIX + team
