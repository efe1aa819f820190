"""Tests of TLS between the client pool and the server."""

import socket
import ssl

import pytest
import trustme

from wagtailfront.callers.tests.builders import running
from wagtailfront.exception import SettingsError
from wagtailfront.serving.http_server import HttpServer
from wagtailfront.serving.tests.test_http_server import Echo, fetch
from wagtailfront.transport.tls import ServerKeys, client_context


class SecureEcho(Echo):
    """Echo server with TLS."""

    channel = "secure-echo"

    def __init__(self, keys):
        super(Echo, self).__init__()
        self.requests = 0
        self.server = HttpServer(
            bind=("127.0.0.1", 0), channel=self.channel, context=keys.context
        ).register(self)


@pytest.fixture
def files(tmp_path):
    write_keys(tmp_path)
    return tmp_path


def write_keys(folder):
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "ca.pem")
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(folder / "key.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "cert.pem")


def make_keys(folder):
    return ServerKeys(certificate=folder / "cert.pem", key=folder / "key.pem")


def fetch_securely(port, folder):
    context = client_context(folder / "ca.pem")
    return fetch(port, secure=True, context=context)


def test_request_over_tls_and_reload(files):
    """Guards against a restart for new keys, and blocking handshakes."""
    keys = make_keys(files)
    server = SecureEcho(keys)
    with running(server):
        port = server.server.port
        # A connection that never starts its handshake must not block others.
        with socket.create_connection(("127.0.0.1", port)):
            assert fetch_securely(port, files)[0] == 200
        write_keys(files)
        status, reason, sent = fetch_securely(port, files)
        assert (status, sent) == (None, False)
        assert "TLS handshake failed" in reason
        assert keys.reload()
        assert fetch_securely(port, files)[0] == 200


def test_bad_keys_are_rejected_and_old_ones_stay_in_use(files):
    """Guards against loading a key that does not match its certificate."""
    keys = make_keys(files)
    (files / "key.pem").write_text("no key")
    with pytest.raises(SettingsError, match="key.pem"):
        make_keys(files)
    with pytest.raises(SettingsError):
        keys.reload()
    server = SecureEcho(keys)
    with running(server):
        assert fetch_securely(server.server.port, files)[0] == 200


def test_old_protocol_versions_are_rejected(files):
    """Guards against handshakes below TLS 1.2."""
    keys = make_keys(files)
    assert keys.context.minimum_version == ssl.TLSVersion.TLSv1_2
