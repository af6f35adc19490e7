"""Runs seeds of the soak of zones that restart and are cut off.

recut_soak.py FIRST-LAST [--seconds N] [--build DIR] [--set NAME=JSON ...]

Prints one summary line per seed and, for a seed that failed, the violations and
the folder of the logs. --set replaces a trait that the seed draws. Exits with
status 1 if a seed failed.
"""

import argparse
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from recut_soak import soak  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--build")
    parser.add_argument("--set", action="append", default=[])
    args = parser.parse_args()
    settings = {name: json.loads(value) for name, _, value in
                (s.partition("=") for s in args.set)}
    first, _, last = args.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        violations, summary, folder = soak(seed, args.seconds, args.build,
                                           **settings)
        print(summary, folder, flush=True)
        failed_seeds += bool(violations)
        for violation in violations:
            print("  violation: " + violation, flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
