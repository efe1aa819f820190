"""The platform's API for duties on a real socket."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

__all__ = ["DutyApi"]


class _Handler(BaseHTTPRequestHandler):
    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        fencing = int(self.headers["X-Fencing-Token"])
        holder = self.headers["X-Lease-Holder"]
        call = (self.path, holder, fencing, msgspec.json.decode(body))
        self.server.calls.append(call)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        """Write no line for each call."""


class DutyApi:
    """Accepts all calls.

    Attributes
    ----------
    calls : list of tuple
        Path, holder, fencing number and body of each.
    """

    def __init__(self):
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
        self.server.daemon_threads = True
        self.server.calls = self.calls = []
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def windows(self):
        """Return the counts of each reported window, with an empty name."""
        return {body["window-id"]: body["counts"] for *_, body in self.calls}

    def close(self):
        self.server.shutdown()
        self.server.server_close()
