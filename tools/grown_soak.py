"""Runs seeds of the soak of a grown fleet.

grown_soak.py FIRST-LAST [--form grown|small|short] [--seconds N] [--late SHARE]
              [--build DIR]

Prints one summary line per seed and, for a seed that failed, how often each rule
was broken, the violations and the folder of the logs. The deploy file is that of
the tree that holds DIR. Exits with status 1 if a seed failed.
"""

import argparse
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from grown_fleet import FORMS  # noqa: E402
from grown_soak import soak  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds")
    parser.add_argument("--form", choices=list(FORMS), default="grown")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--late", type=float, default=0.0)
    parser.add_argument("--build")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        violations, summary, folder = soak(args.form, seed, args.seconds,
                                           args.late, args.build)
        broken = collections.Counter(v.split(":")[0] for v in violations)
        print(f"{args.form} {summary}\n  broken: {dict(broken)}, "
              f"logs: {folder}", flush=True)
        if violations:
            failed_seeds += 1
            print("\n".join("  violation: " + v for v in violations),
                  flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
