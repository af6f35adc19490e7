"""Plays seeds of the fault soak: soak.py 1-50 [SECONDS]. Exits 1 where a
promise broke; prints what, the faults in order and the folder of the logs."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from soak import soak  # noqa: E402

SECONDS = 10


def main():
    first, _, last = sys.argv[1].partition("-")
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else SECONDS
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        broken, line, faults, folder = soak(seed, seconds)
        print(line, flush=True)
        if broken:
            bad += 1
            print("\n".join(["  broken: " + b for b in broken[:20]] +
                            ["  " + f for f in faults] + ["  logs: " + folder]),
                  flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
