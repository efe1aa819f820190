"""The `wagtailfront-ctl` program: commands for operators."""

import pathlib
import sys
from typing import Literal

from wagtailfront.exception import DeploymentError, SettingsError
from wagtailfront.observe.request_timeline import format_timeline, read_timeline
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.burn_rate import Burn, html_report, merge, text_report
from wagtailfront.operators.deployment_diff import batches, difference
from wagtailfront.operators.deployment_file import read_deployment
from wagtailfront.operators.messages import (
    change_to_message,
    configuration_from_message,
    from_message,
)
from wagtailfront.operators.operator_client import OperatorClient, OperatorError
from wagtailfront.programs.ctl_output import (
    EXIT_ERROR,
    EXIT_OK,
    EXIT_PENDING,
    EXIT_UNAVAILABLE,
    print_outcome,
    print_plan,
    status_json,
    status_text,
)
from wagtailfront.programs.settings import Address, HostPort, Name, run
from wagtailfront.transport.tls import client_context

__all__ = [
    "main",
    "apply",
    "status",
    "drain",
    "undrain",
    "withdraw",
    "set_engine",
    "burn",
    "explain",
]

DEFAULT_INSTANCES = (HostPort("127.0.0.1", 20_201),)


def _make_client(instances, token_file, tls_authority):
    try:
        token = token_file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"token file {token_file}: {error}")
    context = None if tls_authority is None else client_context(tls_authority)
    return OperatorClient(addresses=instances, token=token, context=context)


def _report_error(error):
    print(f"wagtailfront-ctl: {error}", file=sys.stderr)
    return EXIT_UNAVAILABLE if error.code == "unavailable" else EXIT_ERROR


def _fetch_configuration(client):
    reply = client.call("GetStatus", pb.GetStatusRequest())
    return configuration_from_message(reply.configuration)


def _send_change(client, method, request):
    """Send a change based on the current version."""
    try:
        version = _fetch_configuration(client).version
        request.header.base_version = version
        return print_outcome(client.call(method, request))
    except OperatorError as error:
        return _report_error(error)


def apply(
    file: pathlib.Path,
    *,
    token_file: pathlib.Path,
    instances: list[Address] = DEFAULT_INSTANCES,
    tls_authority: pathlib.Path | None = None,
    dry_run: bool = False,
):
    """Apply a deployment file to the fleet's configuration.

    Shows the difference first. Engines and endpoints that are not in the file
    are withdrawn, and deleted by the next apply.

    Parameters
    ----------
    file : Path
        Deployment file.
    token_file : Path
        File with the operator's token.
    instances : list[Address]
        Operators' addresses of the instances, tried in order.
    tls_authority : Path or None
        PEM file of the authority that signed the instances' certificates;
        without it, connections are not encrypted.
    dry_run : bool
        Only show the difference.
    """
    try:
        wanted = read_deployment(file)
    except DeploymentError as error:
        raise SettingsError(str(error))
    client = _make_client(instances, token_file, tls_authority)
    try:
        running = _fetch_configuration(client)
        plan = difference(running, wanted)
        print_plan(plan, running)
        if dry_run or not plan.changes:
            return EXIT_ERROR if plan.deferred and not plan.changes else EXIT_OK
        return _send_batches(client, plan.changes, running.version)
    except OperatorError as error:
        return _report_error(error)


def _send_batches(client, changes, version):
    for batch in batches(changes):
        request = pb.ApplyRequest(changes=map(change_to_message, batch))
        request.header.base_version = version
        reply = client.call("Apply", request)
        exit_status = print_outcome(reply)
        if exit_status not in (EXIT_OK, EXIT_PENDING):
            return exit_status
        version = reply.accepted.version or reply.pending.version
    return exit_status


def status(
    *,
    token_file: pathlib.Path,
    instances: list[Address] = DEFAULT_INSTANCES,
    tls_authority: pathlib.Path | None = None,
    json: bool = False,
):
    """Show the status of the given instances and of the fleet.

    Parameters
    ----------
    token_file : Path
        File with the operator's token.
    instances : list[Address]
        Operators' addresses of the instances; all are queried.
    tls_authority : Path or None
        PEM file of the authority that signed the instances' certificates.
    json : bool
        Print one JSON object per instance.
    """
    client = _make_client(instances, token_file, tls_authority)
    replies, failures = client.call_each("GetStatus", pb.GetStatusRequest())
    if json:
        for reply in replies.values():
            print(status_json(reply))
    elif replies:
        print(status_text(list(replies.values())))
    for address, failure in failures.items():
        print(f"{address}: {failure}", file=sys.stderr)
    return EXIT_OK if replies else EXIT_UNAVAILABLE


def _target_command(method, summary):
    """Return the command that calls `method` for one engine or endpoint."""

    def command(
        name: Name,
        *,
        token_file: pathlib.Path,
        kind: Literal["engine", "endpoint"] = "engine",
        instances: list[Address] = DEFAULT_INSTANCES,
        tls_authority: pathlib.Path | None = None,
    ):
        client = _make_client(instances, token_file, tls_authority)
        request = pb.TargetRequest(target=pb.Target(**{kind: name}))
        return _send_change(client, method, request)

    command.__name__ = method.lower()
    command.__doc__ = f"""{summary}

    Parameters
    ----------
    name : Name
        Name of the engine or endpoint.
    token_file : Path
        File with the operator's token.
    kind : Literal
        Whether the name is that of an engine or an endpoint.
    instances : list[Address]
        Operators' addresses of the instances, tried in order.
    tls_authority : Path or None
        PEM file of the authority that signed the instances' certificates.
    """
    return command


drain = _target_command("Drain", "Stop sending new work to an engine or endpoint.")
undrain = _target_command("Undrain", "Send work to a drained engine or endpoint again.")
withdraw = _target_command("Withdraw", "Remove an engine or endpoint from service.")


def set_engine(
    name: Name,
    *,
    token_file: pathlib.Path,
    model: str | None = None,
    version: str | None = None,
    adapters: list[str] | None = None,
    role: Literal["", "mixed", "prefill", "decode"] = "",
    instances: list[Address] = DEFAULT_INSTANCES,
    tls_authority: pathlib.Path | None = None,
):
    """Change what an engine runs; omitted flags leave their value unchanged.

    Parameters
    ----------
    name : Name
        Name of the engine.
    token_file : Path
        File with the operator's token.
    model : str or None
        Model to load.
    version : str or None
        Version of the model.
    adapters : list[str] or None
        All adapters to load; the flag without values unloads all.
    role : Literal
        Role of the engine; unchanged if empty.
    instances : list[Address]
        Operators' addresses of the instances, tried in order.
    tls_authority : Path or None
        PEM file of the authority that signed the instances' certificates.
    """
    request = pb.SetEngineRequest(engine=name, model=model, version=version)
    if adapters is not None:
        request.adapters.SetInParent()
        request.adapters.names.extend(adapters)
    if role:
        request.role = pb.Role.Value(f"ROLE_{role.upper()}")
    if len(request.ListFields()) == 1:
        raise SettingsError(
            "at least one of --model, --version, --adapters and --role is required"
        )
    client = _make_client(instances, token_file, tls_authority)
    return _send_change(client, "SetEngine", request)


def burn(
    *,
    token_file: pathlib.Path,
    instances: list[Address] = DEFAULT_INSTANCES,
    tls_authority: pathlib.Path | None = None,
    service: str = "",
    html: pathlib.Path | None = None,
):
    """Report how fast the services consume their error budgets.

    Adds up the requests of the given instances within the last hour.

    Parameters
    ----------
    token_file : Path
        File with the operator's token.
    instances : list[Address]
        Operators' addresses of the instances; all are queried.
    tls_authority : Path or None
        PEM file of the authority that signed the instances' certificates.
    service : str
        Service to report on; all if empty.
    html : Path or None
        Also write the report to this file as an HTML page.
    """
    client = _make_client(instances, token_file, tls_authority)
    request = pb.GetBurnRequest(service=service)
    replies, failures = client.call_each("GetBurn", request)
    for address, failure in failures.items():
        print(f"{address}: {failure}", file=sys.stderr)
    if not replies:
        return EXIT_UNAVAILABLE
    burns = merge(
        from_message(item, Burn) for reply in replies.values() for item in reply.burns
    )
    if html is not None:
        html.write_text(html_report(burns), encoding="utf-8")
    print(text_report(burns), end="")
    return EXIT_OK


def explain(request_id: str, *files: pathlib.Path):
    """Print the log lines of one request from all instances, by time.

    Parameters
    ----------
    request_id : str
        Id of the request.
    *files : pathlib.Path
        Logs of any number of instances; text before a line's first brace is
        ignored, so that prefixed benchmark output can be read as it is.
    """
    try:
        lines = [
            line
            for path in files
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        ]
    except OSError as error:
        raise SettingsError(f"log file: {error}")
    timeline = read_timeline(lines, request_id)
    print(format_timeline(timeline))
    return EXIT_OK if timeline else EXIT_ERROR


def main():
    """Run the program `wagtailfront-ctl`."""
    commands = [apply, status, drain, undrain, withdraw, set_engine, burn, explain]
    sys.exit(run(commands, prog="wagtailfront-ctl"))
