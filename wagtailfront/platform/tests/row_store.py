"""The platform's store on a real socket, for tests of whole instances."""

import base64
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from wagtailfront.platform.tests.store_pool import StorePool

__all__ = ["RowStore"]

WATCH_STEP = 0.005  # seconds between checks of a watch
MS_PER_SECOND = 1000


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self._answer()

    do_POST = do_GET

    def _answer(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        status, answer = self.server.store.answer(self.command, self.path, body)
        now_ms = round(time.monotonic() * MS_PER_SECOND)
        data = msgspec.json.encode({**answer, "now-ms": now_ms})
        self.send_response(status)
        self.send_header("Store-Era", "1")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        """Write no line for each call."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Ignore instances that end during a call."""


class RowStore:
    """Answers reads, watches and transactions in threads of its own."""

    def __init__(self):
        self.rows = StorePool()
        self.lock = threading.Lock()
        self.server = _Server(("127.0.0.1", 0), _Handler)
        self.server.store = self
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, table, key, value):
        """Write a row whose value is encoded as JSON."""
        data = base64.b64encode(msgspec.json.encode(value)).decode()
        with self.lock:
            self.rows.write(table, key, data)

    def answer(self, method, path, body):
        """Return the status and the answer to a call, late for a watch."""
        wait = int(StorePool.read_query(path).get("wait-ms", 0)) / MS_PER_SECOND
        limit = time.monotonic() + wait
        while True:
            with self.lock:
                status, answer = self.rows.perform(method, path, body)
            if status != 200 or answer.get("rows") or time.monotonic() >= limit:
                return status, answer
            time.sleep(WATCH_STEP)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
