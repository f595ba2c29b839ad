"""Records of jobs are read across versions, as instances are replaced one by one."""

import msgspec

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.state.work import JobStatus, Phase, Progress, TaskRecord

BEFORE = b'[[[0,0,1,2,1,false,"",[[2,"w0",7]]]],[]]'


class FormerTaskRecord(msgspec.Struct, frozen=True, array_like=True):
    occurrence: int
    step: int
    index: int
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple


def test_a_record_from_before_crashes_were_counted_is_read():
    (task,) = decode_json(BEFORE, Progress).tasks
    assert (task.crashes, task.sole_crashes) == (0, 0)
    assert task.runs[0].machine == ""


def test_the_former_version_reads_a_record_with_crashes():
    record = TaskRecord(0, 0, 1, 2, 1, False, "", (), 3, 1)
    former = decode_json(encode_json(record), FormerTaskRecord)
    assert (former.last_run, former.failures) == (2, 1)


def test_a_status_without_a_reason_is_read():
    status = decode_json(b'{"phase":"failed","pool":"p","queue":"q"}', JobStatus)
    assert (status.phase, status.reason) == (Phase.FAILED, "")
