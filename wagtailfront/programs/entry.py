"""The `wagtailfront-entry` program: an entry instance."""

import pathlib
import sys
from typing import Literal

from circuits import BaseComponent

from wagtailfront.exception import SettingsError
from wagtailfront.intake.allocator import return_large_blocks
from wagtailfront.membership.bus_keys import read_keys
from wagtailfront.observe.log import start_logging
from wagtailfront.operators.operator_server import read_tokens
from wagtailfront.programs.entry_tree import EntrySettings, EntryTree
from wagtailfront.programs.settings import Address, Name, Seconds, Size, run
from wagtailfront.transport.supervisor import make_root
from wagtailfront.transport.tls import ServerKeys, TlsReloader

__all__ = ["main", "entry"]


def entry(
    *,
    instance: Name,
    data_centre: Name,
    callers: Address,
    operators: Address,
    peers: Address,
    table: Address,
    objects: Address,
    instance_list: Address,
    operator_tokens: pathlib.Path,
    tls_certificate: pathlib.Path | None = None,
    tls_key: pathlib.Path | None = None,
    peer_keys: pathlib.Path | None = None,
    serve_unconfirmed_for: Seconds = 0.0,
    drain_grace: Seconds = 1.0,
    drain_timeout: Seconds = 30.0,
    memory: Size | None = None,
    log_level: Literal["debug", "info", "warning", "error"] = "info",
    log_format: Literal["text", "json"] = "text",
):
    """Serve callers and operators as one of several equal instances.

    Parameters
    ----------
    instance : Name
        Name of this instance in the platform's list.
    data_centre : Name
        Data centre that this instance runs in.
    callers : Address
        IP address and port for callers.
    operators : Address
        IP address and port for operators, health checks and metrics.
    peers : Address
        IP address and port for the other instances.
    table : Address
        IP address and port of the platform's table service.
    objects : Address
        IP address and port of the platform's object store.
    instance_list : Address
        IP address and port of the platform's list of instances.
    operator_tokens : pathlib.Path
        File with operators' names and the SHA-256 digests of their tokens.
    tls_certificate : pathlib.Path
        PEM file with the certificate for callers and operators; read again
        when it changes.
    tls_key : pathlib.Path
        PEM file with the private key of the certificate.
    peer_keys : pathlib.Path
        File with the CURVE keys of the instances.
    serve_unconfirmed_for : Seconds
        Seconds for which requests are dispatched while the configuration
        cannot be confirmed; above 0, a partitioned instance may use an
        outdated configuration.
    drain_grace : Seconds
        Seconds between reporting not ready and closing the listening sockets.
    drain_timeout : Seconds
        Seconds from SIGTERM until open requests are aborted.
    memory : Size
        Memory that the process may take; by default that of the machine, but
        no more than 1024 MB. Of it 35% of what exceeds 48 MB is for callers'
        and operators' requests and unread answers.
    log_level : str
        Least severe level that is logged.
    log_format : str
        Format of the log lines.
    """
    start_logging(level=log_level, form=log_format)
    return_large_blocks()
    keys = _read_tls(tls_certificate, tls_key)
    settings = EntrySettings(
        instance=instance,
        data_centre=data_centre,
        callers=callers,
        operators=operators,
        peers=peers,
        table=table,
        objects=objects,
        instance_list=instance_list,
        operator_tokens=read_tokens(operator_tokens),
        bus_keys=_read_bus_keys(peer_keys),
        caller_context=keys and keys.context,
        operator_context=keys and keys.context,
        serve_unconfirmed_for=serve_unconfirmed_for,
        drain_grace=drain_grace,
        drain_timeout=drain_timeout,
        memory=memory,
    )
    root = make_root(BaseComponent())
    if keys is not None:
        TlsReloader(keys=keys).register(root)
    EntryTree(settings=settings).build().register(root)
    root.run()


def _read_tls(certificate, key):
    if (certificate is None) != (key is None):
        raise SettingsError("--tls-certificate and --tls-key must be given together")
    return None if key is None else ServerKeys(certificate=certificate, key=key)


def _read_bus_keys(path):
    if path is None:
        return None
    try:
        return read_keys(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"--peer-keys: {error}")


def main():
    """Run the program `wagtailfront-entry`."""
    sys.exit(run(entry, prog="wagtailfront-entry"))
