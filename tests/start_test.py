"""Programs start, and continue to run, under unusual conditions."""

import contextlib
import http.client
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import time

import pytest

from fleet import BUILD, SECRET, free_port, http_call, wait_until

PROGRAMS = ["almondgate-entry", "almondgate-placer", "almondgate-control",
            "almondgate-platform-entry", "almondgate-platform-control"]


def args_of(program, folder, ports, **changes):
    """Arguments with which a program runs without any other process."""
    flags = {"secret": SECRET, "inner": f"127.0.0.1:{ports['inner']}",
             "status": f"127.0.0.1:{ports['status']}", "zone": "z0",
             "control": f"127.0.0.1:{ports['inner']}", "stop-delay-ms": "10"}
    if not program.endswith("placer"):
        flags["public"] = f"127.0.0.1:{ports['public']}"
    if program.endswith("control"):
        flags.update({"data": os.path.join(folder, "data"), "found": "true",
                      "tolerated-losses": "0"})
    flags.update(changes)
    return [os.path.join(os.path.abspath(BUILD), program)] + [
        f"--{name}={value}" for name, value in flags.items()]


@contextlib.contextmanager
def running(args, folder, **options):
    """Runs a program, which has to end with exit code 0 at SIGTERM."""
    with open(os.path.join(folder, "log"), "ab") as log:
        options = {"stdout": log, "stderr": log, **options}
        process = subprocess.Popen(args, **options)
    try:
        yield process
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()


def readiness(ports):
    """Returns the answer of the status address, (0, b"") if there is none."""
    try:
        status, _, body = http_call(ports["status"], "GET", "/readyz")
        return status, body
    except (OSError, http.client.HTTPException):
        return 0, b""


def is_ready(ports):
    return readiness(ports)[0] == 200


@pytest.fixture
def ports():
    return {name: free_port() for name in ("inner", "status", "public")}


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_missing_identity_is_said_on_both_outputs(program, tmp_path, ports):
    done = subprocess.run(args_of(program, tmp_path, ports, inner=""),
                          capture_output=True, timeout=10)
    assert done.returncode == 2
    for output in (done.stdout, done.stderr):
        assert output.count(b"\n") == 1
        assert b"--inner (ALMONDGATE_INNER) '': must be IP:PORT" in output


def test_a_member_restarts_without_control_addresses(tmp_path, ports):
    program = "almondgate-platform-control"
    for changes in ({}, {"control": "", "found": ""}):
        args = args_of(program, tmp_path, ports, **changes)
        with running(args, tmp_path):
            wait_until(lambda: is_ready(ports), 5, "the member is ready")


def test_an_entry_without_control_addresses_is_not_ready(tmp_path, ports):
    args = args_of("almondgate-platform-entry", tmp_path, ports, control="")
    with running(args, tmp_path):
        wait_until(lambda: readiness(ports) == (
            503, b"no control member is known"), 5, "the entry says why")
        assert http_call(ports["public"], "GET", "/x")[0] >= 400


@contextlib.contextmanager
def taken(port, by_connection):
    """Another socket has a port: one that listens, or the local port of a
    connection."""
    with contextlib.ExitStack() as open_sockets:
        def new_socket():
            return open_sockets.enter_context(socket.socket())
        if by_connection:
            server = new_socket()
            server.bind(("127.0.0.1", 0))
            server.listen()
            client = new_socket()
            client.bind(("127.0.0.1", port))
            client.connect(server.getsockname())
            # Ends the connection without TIME_WAIT.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        else:
            server = new_socket()
            server.bind(("127.0.0.1", port))
            server.listen()
        yield


LISTENERS = [(program, name) for program in PROGRAMS
             for name in ("inner", "status", "public")
             if (program, name) not in (("almondgate-placer", "public"),
                                        ("almondgate-control", "public"),
                                        ("almondgate-platform-entry", "inner"))]


@pytest.mark.parametrize("by_connection", [False, True],
                         ids=["listener", "connection"])
@pytest.mark.parametrize("program,name", LISTENERS)
def test_a_process_waits_for_a_taken_port(program, name, by_connection,
                                          tmp_path, ports):
    log = tmp_path / "log"
    args = args_of(program, tmp_path, ports)
    address = f"127.0.0.1:{ports[name]}"
    with contextlib.ExitStack() as member:
        if program == "almondgate-entry" and name == "public":
            # An entry listens once a control member has answered.
            (tmp_path / "member").mkdir()
            others = {n: free_port() for n in ports}
            member.enter_context(running(
                args_of("almondgate-control", tmp_path / "member", others),
                tmp_path / "member"))
            args = args_of(program, tmp_path, ports,
                           control=f"127.0.0.1:{others['inner']}")
        with contextlib.ExitStack() as process:
            with taken(ports[name], by_connection):
                process.enter_context(running(args, tmp_path))
                wait_until(lambda: "trying again" in log.read_text(), 5,
                           "the process says that it waits")
                if name == "public" and program.endswith("entry"):
                    assert readiness(ports)[0] == 503
                if name == "public" and program.endswith("control"):
                    wait_until(lambda: is_ready(ports), 5, "the member votes")
            wait_until(lambda: f"listens on {address} now" in log.read_text(),
                       5, "the process listens")
            with socket.create_connection(("127.0.0.1", ports[name]), 5):
                pass
        assert log.read_text().count("trying again") == 1


def ignores_broken_pipes(process):
    """True once the program's first instructions have run."""
    with open(f"/proc/{process.pid}/status") as f:
        ignored = int(re.search(r"SigIgn:\s+(\w+)", f.read()).group(1), 16)
    return ignored >> (signal.SIGPIPE - 1) & 1


@pytest.mark.parametrize("program", PROGRAMS)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_during_the_start_is_a_planned_stop(program, number, tmp_path,
                                                     ports):
    args = args_of(program, tmp_path, ports)
    statuses = {}
    for delay_ms in range(0, 21, 4):
        with open(tmp_path / "log", "ab") as log:
            process = subprocess.Popen(args, stdout=log, stderr=log)
        while not ignores_broken_pipes(process):
            pass
        time.sleep(delay_ms / 1000)
        process.send_signal(number)
        try:
            statuses[delay_ms] = process.wait(20)
        finally:
            process.kill()
    assert set(statuses.values()) == {0}, statuses


@pytest.mark.parametrize("program", PROGRAMS)
def test_other_signals_do_not_end_a_process(program, tmp_path, ports):
    with running(args_of(program, tmp_path, ports), tmp_path) as process:
        wait_until(lambda: readiness(ports)[0], 5, "the process serves")
        for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2,
                       signal.SIGALRM, signal.SIGPIPE, signal.SIGXFSZ):
            process.send_signal(number)
        time.sleep(0.1)
        assert readiness(ports)[0]


def close_standard_descriptors():
    for number in range(3):
        os.close(number)


def limit_descriptors():
    """Too few descriptors by the soft limit, enough by the hard limit."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (12, 256))


def limit_address_space():
    """The default stack of a thread exceeds the address space."""
    resource.setrlimit(resource.RLIMIT_STACK, (512 << 20, 512 << 20))
    resource.setrlimit(resource.RLIMIT_AS, (256 << 20, 256 << 20))


def limit_file_sizes():
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    resource.setrlimit(resource.RLIMIT_FSIZE, (1 << 20, 1 << 20))


CONDITIONS = {
    "closed_descriptors": {"preexec_fn": close_standard_descriptors},
    "few_descriptors": {"preexec_fn": limit_descriptors},
    "large_stacks": {"preexec_fn": limit_address_space},
    "small_files": {"preexec_fn": limit_file_sizes},
    "empty_environment": {"env": {"PATH": "/usr/bin:/bin"}},
    "unknown_locale": {"env": {"LANG": "xx_YY.UTF-8", "LC_ALL": "xx_YY",
                               "TZ": "No/Where"}},
    "read_only_folder": {"cwd": "/proc"},
}


@pytest.mark.parametrize("condition", CONDITIONS)
@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_serves_under(condition, program, tmp_path, ports):
    args = args_of(program, tmp_path, ports)
    with running(args, tmp_path, **CONDITIONS[condition]) as process:
        wait_until(lambda: readiness(ports)[0], 5, "the program serves")
        if program.endswith("control"):
            wait_until(lambda: is_ready(ports), 5, "the member votes")
        if condition == "closed_descriptors":
            for number in range(3):
                assert os.readlink(
                    f"/proc/{process.pid}/fd/{number}") == "/dev/null"


def full_pipe():
    """Returns the ends of a pipe that takes no more bytes."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    return reader, writer


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_log_that_nobody_reads_holds_up_no_stop(program, tmp_path, ports):
    reader, writer = full_pipe()
    try:
        args = args_of(program, tmp_path, ports)
        with running(args, tmp_path, stdout=writer):
            wait_until(lambda: readiness(ports)[0], 5, "the program serves")
    finally:
        os.close(reader)
        os.close(writer)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_full_output_device_does_not_end_a_process(program, tmp_path, ports):
    with open("/dev/full", "wb") as full:
        with running(args_of(program, tmp_path, ports), tmp_path, stdout=full):
            wait_until(lambda: readiness(ports)[0], 5, "the program serves")
