"""Plays the cases of tests/fault_cases.py on the programs of a source tree.

usage: fault_cases.py TREE TARGET [CASE...]
Prints a row for each case: own ends by VM, peak memory, whether it serves.
"""

import os
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests"))

from fault_cases import RUNNING, SETTINGS  # noqa: E402
from platform_deployment import Deployment  # noqa: E402


def play(tree, target, case, changes):
    with Deployment(tree, target, changes=changes) as d:
        serves = "serves"
        try:
            d.configure(8)
            d.serves("00000000000000b1", 8)
            if case:
                case(d)
            d.serves("00000000000000b2", 8)
        except AssertionError as e:
            serves = str(e)
        peaks = d.peaks_mb()
        return (f"own ends {d.own_ends() or 'none'}; "
                f"peak {max(peaks.values())} MB; {serves}")


def main():
    tree, target, *wanted = sys.argv[1:]
    cases = [(f.__name__, f, {}) for f in RUNNING]
    cases += [(name, None, changes) for name, changes in SETTINGS.items()]
    for name, case, changes in cases:
        if not wanted or name in wanted:
            print(f"{name}: {play(tree, target, case, changes)}", flush=True)


if __name__ == "__main__":
    main()
