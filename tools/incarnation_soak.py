"""Runs seeds of the soak of restarted endpoints.

incarnation_soak.py FIRST-LAST [--seconds N] [--late SHARE] [--build DIR]

Prints one summary line per seed and, for a seed that failed, the violations and
the folder of the logs. The deploy file is that of the tree that holds DIR.
Exits with status 1 if a seed failed.
"""

import argparse
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from incarnation_soak import soak  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds")
    parser.add_argument("--seconds", type=float, default=55)
    parser.add_argument("--late", type=float, default=0.0)
    parser.add_argument("--build")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        violations, summary, folder = soak(seed, args.seconds, args.late,
                                           args.build)
        print(summary, flush=True)
        if violations:
            failed_seeds += 1
            print("\n".join(["  violation: " + v for v in violations] +
                            ["  logs: " + folder]), flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
