"""A member that stops while endpoints register ends with exit code 0."""

import threading

import pytest

from platform_fleet import PlatformFleet

THREADS = 12
REGISTER_SECONDS = 0.7


@pytest.mark.parametrize("stop", range(3))
def test_a_planned_stop_under_heartbeats_uses_no_freed_memory(
        stop, monkeypatch):
    # The allocator overwrites what is freed.
    monkeypatch.setenv("MALLOC_PERTURB_", "165")
    with PlatformFleet(1) as fleet:
        fleet.configure()
        stopping = threading.Event()

        def register(thread):
            number = 0
            while not stopping.is_set():
                number += 1
                facts = fleet.endpoint.facts(**{
                    "address": f"10.0.{thread}.{number % 250 + 1}:80",
                    "machine-id": f"m-{thread}-{number}"})
                try:
                    fleet.control("PUT", f"/instances/w{thread}-{number}",
                                  facts)
                except OSError:
                    stopping.wait(0.001)

        threads = [threading.Thread(target=register, args=(i,), daemon=True)
                   for i in range(THREADS)]
        for thread in threads:
            thread.start()
        stopping.wait(REGISTER_SECONDS)
        code = fleet.fleet.processes["control"].stop()
        stopping.set()
        for thread in threads:
            thread.join(5)
        assert code == 0
