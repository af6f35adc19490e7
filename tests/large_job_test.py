"""Jobs beyond the limits are refused, and no process holds them."""

import time

from fleet import wait_until
from platform_deployment import Deployment

ALLOWED_BYTES = 4000
STEP = {"count": 1000, "cpu": 10, "memory-request-mb": 1,
        "estimated-ms": 500}
IDLE_MB = 60


def job(content_bytes, **step):
    return {"task-spec": "x" * content_bytes, "steps": [{**STEP, **step}]}


def test_a_job_with_a_long_content_is_refused():
    with Deployment(memory_mb=160) as d:
        d.configure()
        d.serves("00000000000000b1")
        for _ in range(2):
            for size in (200000, ALLOWED_BYTES + 1):
                status, _ = d.job_call("POST", "00000000000000c1", job(size))
                assert status == 400
        assert d.job_call("GET", "00000000000000c1")[0] == 410
        d.serves("00000000000000b2")
        assert d.own_ends() == {}
        assert max(d.peaks_mb().values()) < IDLE_MB


def test_cancelling_a_job_with_many_queued_orders_ends_no_process():
    # Tasks without a size are all ordered at once, most of them wait for the
    # endpoint, and the cancellation withdraws these together.
    with Deployment(memory_mb=260) as d:
        d.configure()
        d.serves("00000000000000b1")
        body = job(1, count=100000, cpu=0)
        assert d.job_call("POST", "00000000000000c1", body)[0] == 200
        time.sleep(1)
        wait_until(lambda: d.job_call("DELETE", "00000000000000c1")[0] == 200,
                   10, "the job is cancelled")
        time.sleep(2)
        assert d.own_ends() == {}


def test_many_orders_for_one_endpoint_keep_memory_below_the_limit():
    # All tasks are without a size, so all of them may be ordered at once.
    with Deployment(memory_mb=160) as d:
        d.configure()
        d.serves("00000000000000b1")
        body = job(ALLOWED_BYTES, count=100000, cpu=0)
        assert d.job_call("POST", "00000000000000c1", body)[0] == 200
        time.sleep(3)
        assert d.own_ends() == {}, d.peaks_mb()
        assert max(d.peaks_mb().values()) < 160, d.peaks_mb()


def test_many_open_jobs_keep_memory_below_the_limit():
    with Deployment(memory_mb=160) as d:
        d.configure()
        d.serves("00000000000000b1")
        body = job(ALLOWED_BYTES, count=200000, **{"long-running": True})
        for i in range(8):
            status, _ = d.job_call("POST", f"00000000000000d{i}", body)
            assert status in (200, 503), d.peaks_mb()
        time.sleep(1)
        assert d.own_ends() == {}, d.peaks_mb()


# Ended jobs are remembered for a while with the progress of their tasks.
def test_many_cancelled_jobs_keep_memory_below_the_limit():
    with Deployment(memory_mb=160) as d:
        d.configure()
        d.serves("00000000000000b1")
        body = job(ALLOWED_BYTES, count=200000, **{"long-running": True})
        for i in range(24):
            name = f"{i:016x}"
            if d.job_call("POST", name, body)[0] == 200:
                assert d.job_call("DELETE", name)[0] == 200
        time.sleep(1)
        assert d.own_ends() == {}, d.peaks_mb()
