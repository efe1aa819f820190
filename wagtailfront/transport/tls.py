"""TLS contexts that reload changed key files without a restart."""

import logging
import os
import ssl

from circuits import BaseComponent, Event, handler

from wagtailfront.exception import SettingsError
from wagtailfront.transport.ticker import Ticker

__all__ = ["ServerKeys", "TlsReloader", "client_context"]

RELOAD_INTERVAL = 5.0  # seconds

logger = logging.getLogger(__name__)


class ServerKeys:
    """Server-side TLS context with reloadable certificate and key.

    Parameters
    ----------
    certificate, key : path
        PEM files.

    Raises
    ------
    SettingsError
        If the files cannot be read or do not match.
    """

    def __init__(self, *, certificate, key):
        self.certificate = certificate
        self.key = key
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.loaded = None
        self.reload()

    def _modification_times(self):
        return tuple(os.stat(path).st_mtime_ns for path in (self.certificate, self.key))

    def reload(self):
        """Reload the files if they changed; return whether they did.

        Notes
        -----
        Open connections keep their keys; new handshakes use the new ones.
        """
        try:
            modified = self._modification_times()
            if modified == self.loaded:
                return False
            # Loaded into a spare context first: a failed load would leave the
            # live one with a certificate that does not match its key.
            spare = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            spare.load_cert_chain(self.certificate, self.key)
            self.context.load_cert_chain(self.certificate, self.key)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f"TLS files {self.certificate}, {self.key}: {error}")
        self.loaded = modified
        return True


def client_context(authority):
    """Return a client context that trusts the certificates in a PEM file.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    try:
        return ssl.create_default_context(cafile=authority)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"TLS authority file {authority}: {error}")


class check_keys(Event):
    """Reload the key files if they changed."""


class TlsReloader(BaseComponent):
    """Reloads key files when they change.

    Parameters
    ----------
    keys : ServerKeys
    """

    channel = "tls"

    def __init__(self, *, keys):
        super().__init__()
        self.keys = keys
        Ticker(
            interval=RELOAD_INTERVAL, make_event=check_keys, target=self.channel
        ).register(self)

    @handler("check_keys")
    def _on_check_keys(self):
        try:
            if self.keys.reload():
                logger.info("[tls] Reloaded the certificate and key.")
        except SettingsError as error:
            logger.error("[tls] Reload failed, the old key stays in use: %s.", error)
