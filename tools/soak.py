"""Runs seeds of the soak test: soak.py FIRST-LAST [SECONDS].

Prints one summary line per seed and, for a seed that failed, the violations,
the faults in order and the folder of the logs. Exits with status 1 if a seed
failed.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from soak import soak  # noqa: E402

SECONDS = 10


def main():
    first, _, last = sys.argv[1].partition("-")
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else SECONDS
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        violations, summary, faults, folder = soak(seed, seconds)
        print(summary, flush=True)
        if violations:
            failed_seeds += 1
            print("\n".join(["  violation: " + v for v in violations[:20]] +
                            ["  " + f for f in faults] + ["  logs: " + folder]),
                  flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
