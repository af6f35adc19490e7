"""No disturbance from outside makes a process of the deployment end."""

import pytest

from fault_cases import RUNNING, SETTINGS
from platform_deployment import Deployment


@pytest.mark.parametrize("case", RUNNING, ids=lambda c: c.__name__)
def test_no_process_ends_by_itself(case):
    with Deployment() as d:
        d.configure()
        d.serves("00000000000000b1")
        case(d)
        d.serves("00000000000000b2")
        assert d.own_ends() == {}, d.peaks_mb()


@pytest.mark.parametrize("name", SETTINGS)
def test_processes_start_with_settings(name):
    with Deployment(changes=SETTINGS[name]) as d:
        d.configure()
        d.serves("00000000000000b1")
        assert d.own_ends() == {}
