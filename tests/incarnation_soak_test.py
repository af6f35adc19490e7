"""Short runs of the soak of endpoints that restart under their old ids."""

import pytest

from incarnation_soak import soak

SECONDS = 6
LATE_SHARE = 0.05
LONG_MS = (2000, 5000)
CUT_SECONDS = (3, 4)


@pytest.mark.parametrize("seed,late_share", [(1, 0), (2, LATE_SHARE)])
def test_no_task_runs_twice_after_restarts(seed, late_share):
    violations, summary, folder = soak(
        seed, SECONDS, late_share, long_ms=LONG_MS, cut_seconds=CUT_SECONDS)
    assert not violations, "\n".join([summary, *violations, folder])
