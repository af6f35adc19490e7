"""Short seeded soaks. Seeds that ever failed stay here, each with its cause."""

import pytest

from soak import soak

SECONDS = 6
SEEDS = [2, 14]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_breaks_under_faults(seed):
    broken, line, faults, folder = soak(seed, SECONDS)
    assert not broken, "\n".join([line, *broken, *faults, folder])
