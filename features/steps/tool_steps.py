"""Steps on the command-line tool, settings and ejections."""

from __future__ import annotations

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading

import behave

from dotterelpath import errors
from features.support import calls
from standins import fleet as fleet_harness

SECTION = """
[[service]]
name = "team"
floor = 1

[[route]]
service = "team"
prefix = "/team"
"""


def run_python(context, *args, **env):
    context.completed = subprocess.run(
        [sys.executable, *map(str, args)],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=getattr(context, "folder", None),
        env={
            **os.environ,
            "PYTHONPATH": str(fleet_harness.ROOT / "src"),
            **env,
        },
        check=False,
    )


def run_tool(context, *args, **env):
    control = ()
    if "fleet" in context:
        port = context.fleet.nodes["entry-1"].control_port
        control = ("--control", f"127.0.0.1:{port}")
    run_python(context, "-m", "dotterelpath.cli.main", *control, *args, **env)


def run_daemon(context, changed, **env):
    ports = fleet_harness.free_ports(5)
    names = ("listen", "peer-listen", "control-listen", "store", "vm-list")
    options = {"--id": "d", "--data-centre": "a"}
    for name, port in zip(names, ports, strict=True):
        options[f"--{name}"] = f"127.0.0.1:{port}"
    options.update(changed)
    arguments = [p for pair in options.items() if pair[1] for p in pair]
    run_python(context, "-m", "dotterelpath.daemon", *arguments, **env)


@behave.then(
    "docs/RESULT_CODES.md has each code with its class, status and text"
)
def step_code_table(context):
    table = (fleet_harness.ROOT / "docs" / "RESULT_CODES.md").read_text()
    for code in errors.ResultCode:
        cells = (int(code), code.name, code.http_status, code.text)
        row = "| {} | {} | {} | {} |".format(*cells)
        assert row in table, row
        assert f"| {int(code) // 1000}xxx | {code.outcome_class.value}" in table


@behave.when("the daemon starts with {flag} {value}")
def step_daemon_setting(context, flag, value):
    if flag.startswith("DOTTERELPATH_"):
        name = "--" + flag.partition("_")[2].lower()
        value = value.rpartition(" ")[2]
        run_daemon(context, {name: None}, **{flag: value})
        return
    run_daemon(context, {flag: value})


@behave.then("it exits with code {code:d} and names {flag}")
def step_names(context, code, flag):
    assert context.completed.returncode == code, context.completed
    assert flag in context.completed.stderr, context.completed.stderr


@behave.when("the daemon starts on a port that is in use")
def step_port_in_use(context):
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        bound.listen()
        port = bound.getsockname()[1]
        run_daemon(context, {"--listen": f"127.0.0.1:{port}"})


@behave.then("it exits with code {code:d} and logs code {number:d}")
def step_log_code(context, code, number):
    assert context.completed.returncode == code, context.completed
    lines = [json.loads(line) for line in context.completed.stderr.splitlines()]
    codes = [line.get("code") for line in lines]
    assert number in codes, context.completed.stderr


@behave.given("a file team.toml with {content}")
def step_file(context, content):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    text = fleet_harness.owners_line() + SECTION
    if content == "invalid TOML":
        text += "this is = not"
    elif content == "a misspelt field":
        text = text.replace("floor", "flour")
    elif content == "a route to an undeclared service":
        text = text.replace('service = "team"', 'service = "other"')
    (context.folder / "team.toml").write_text(text)


@behave.when("the tool runs status against a closed port")
def step_closed_port(context):
    port = fleet_harness.free_ports(1)[0]
    run_tool(context, "--control", f"127.0.0.1:{port}", "status")


@behave.when("the tool edits team, replacing {old} by {new}")
def step_edit(context, old, new):
    editor = f"sed -i 's/{old}/{new}/'"
    args = ("document", "edit", "team", "--token", fleet_harness.TOKEN)
    run_tool(context, *args, EDITOR=editor)


@behave.when("the tool runs {command}")
def step_tool(context, command):
    command, _, condition = command.partition(" with ")
    args = command.split()
    if args[:2] == ["document", "put"]:
        token = "wrong" if "wrong" in condition else fleet_harness.TOKEN
        args += ["--token", token]
        if "stale" in condition:
            args += ["--base", "0" * 64]
    run_tool(context, *args)


@behave.then("it exits with {code:d} and prints {text}")
def step_prints(context, code, text):
    printed = context.completed.stdout + context.completed.stderr
    assert context.completed.returncode == code, printed
    assert text in printed, printed


@behave.given("{instance} fails {percent:d} % of its requests")
def step_partial_failures(context, instance, percent):
    context.fleet.set_mode(instance, fail_share=percent / 100.0)


@behave.given("{instance} recovers")
def step_recovers(context, instance):
    context.fleet.set_mode(instance, fail_share=0.0)


@behave.when("callers read the catalogue through all daemons")
def step_readers(context):
    done = threading.Event()

    def read(node):
        while not done.is_set():
            calls.try_get(context, node, "/catalogue/x")

    threads = [
        threading.Thread(target=read, args=(node,))
        for node in context.fleet.nodes
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()

    def stop():
        done.set()
        for thread in threads:
            thread.join()

    context.add_cleanup(stop)


def catalogue_status(context, node):
    control = context.fleet.nodes[node].control_port
    return fleet_harness.status(control)["services"]["catalogue"]


@behave.then("all daemons eject {instance} within {seconds:d} s")
def step_all_eject(context, instance, seconds):
    for node in context.fleet.nodes:
        fleet_harness.wait_until(
            lambda n=node: instance in catalogue_status(context, n)["ejected"],
            f"{node} ejects {instance}",
            float(seconds),
        )


@behave.then("all daemons return {instance} to rotation within {seconds:d} s")
def step_back_in_rotation(context, instance, seconds):
    for node in context.fleet.nodes:
        fleet_harness.wait_until(
            lambda n=node: instance in catalogue_status(context, n)["rotation"],
            f"{node} returns {instance} to rotation",
            float(seconds),
        )


@behave.then("{node} avoids {instance} within {seconds:d} s")
def step_avoids(context, node, instance, seconds):
    fleet_harness.wait_until(
        lambda: instance in catalogue_status(context, node)["avoided"],
        f"{node} avoids {instance}",
        float(seconds),
    )


@behave.then("no daemon ejects {instance}")
def step_no_eject(context, instance):
    for node in context.fleet.nodes:
        ejected = catalogue_status(context, node)["ejected"]
        assert instance not in ejected, f"{node} ejects {ejected}"
