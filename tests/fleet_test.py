"""What the fleet's own reckoning says of known spans."""

import pytest

from fleet import most_at_once


@pytest.mark.parametrize("rows, most", [
    ([], 0),
    ([["t", 10, 20], ["t", 20, 30]], 1),
    ([["t", 10, 21], ["t", 20, 30]], 2),
    ([["t", 10, 21], ["u", 20, 30]], 1),
    ([["t", 10, 0], ["t", 90, 0]], 2),
    ([["t", 0, 5], ["t", 95, 200], ["t", 99, 0]], 2),
    ([["t", 0, 5], ["t", 0, 4]], 0),
])
def test_spans_that_meet(rows, most):
    assert most_at_once(rows, "t", 6, 100) == most
