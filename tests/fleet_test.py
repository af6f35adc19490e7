"""Tests of the overlap count that the limit tests rely on, with known spans."""

import pytest

from fleet import peak_overlap


@pytest.mark.parametrize("rows, peak", [
    ([], 0),
    ([["t", 10, 20], ["t", 20, 30]], 1),
    ([["t", 10, 21], ["t", 20, 30]], 2),
    ([["t", 10, 21], ["u", 20, 30]], 1),
    ([["t", 10, 0], ["t", 90, 0]], 2),
    ([["t", 0, 5], ["t", 95, 200], ["t", 99, 0]], 2),
    ([["t", 0, 5], ["t", 0, 4]], 0),
])
def test_spans_that_meet(rows, peak):
    assert peak_overlap(rows, "t", 6, 100) == peak
