"""Control port of a stand-in: runs commands over HTTP and replies in JSON."""

import http.server
import json
import threading
import urllib.parse
from collections.abc import Callable
from typing import Any

import urllib3

Command = Callable[..., Any]

CONTROL_TIMEOUT_S = 5.0


def parse_value(text: str) -> Any:
    """Parse a command parameter as JSON; text that is not JSON is returned as is."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def run_command(commands: dict[str, Command], path: str) -> tuple[int, Any]:
    """Run the command that `path` names; return the HTTP status and the reply."""
    parts = urllib.parse.urlsplit(path)
    name = parts.path.rsplit("/", 1)[-1]
    command = commands.get(name)
    if command is None:
        return 404, {"error": f"unknown command {name}", "known": sorted(commands)}
    parameters = urllib.parse.parse_qsl(parts.query, keep_blank_values=True)
    try:
        return 200, command(**{key: parse_value(text) for key, text in parameters})
    except (TypeError, ValueError) as error:
        return 400, {"error": str(error)}


class ControlServer:
    """HTTP server on its own thread that runs commands by name.

    `POST /slow?delay_ms=200` calls `commands["slow"](delay_ms=200)`.
    """

    def __init__(self, commands: dict[str, Command], port: int = 0) -> None:
        self.commands = commands
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                status, reply = run_command(server.commands, self.path)
                body = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        self.address = f"127.0.0.1:{self.port}"
        self.thread = threading.Thread(
            target=self.server.serve_forever, name="control", daemon=True
        )
        self.thread.start()

    def close(self) -> None:
        """Stop the server and its thread."""
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


def call_control(address: str, command: str, /, **parameters: Any) -> Any:
    """Run `command` on the control port at `address` and return its result."""
    fields = {key: json.dumps(value) for key, value in parameters.items()}
    url = f"http://{address}/{command}?{urllib.parse.urlencode(fields)}"
    reply = urllib3.request("POST", url, timeout=CONTROL_TIMEOUT_S, retries=False)
    if reply.status != 200:
        raise ValueError(f"{command} at {address}: {reply.data.decode()}")
    return reply.json()
