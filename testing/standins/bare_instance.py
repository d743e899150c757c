"""Stand-in for an instance that serves only addresses, for tests of the launcher."""

import argparse
import http.server
import json
import pathlib
import sys


class _Handler(http.server.BaseHTTPRequestHandler):
    folder: pathlib.Path

    def do_GET(self) -> None:
        # Read the files on each request: instances that start later add theirs later.
        files = self.folder.glob("*-?.jsonc")
        settings = [json.loads(path.read_text()) for path in files]
        addresses = [
            {"address": each["caller_address"], "data_centre": each["data_centre"]}
            for each in settings
        ]
        body = json.dumps({"addresses": addresses}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def main() -> None:
    """Serve until killed; `--fail` exits at once, like an error during startup."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    parser.add_argument("--fail", action="store_true")
    options = parser.parse_args()
    if options.fail:
        sys.exit("the settings cannot be used")
    _Handler.folder = options.settings.parent
    own = json.loads(options.settings.read_text())
    host, port = own["caller_address"].split(":")
    http.server.ThreadingHTTPServer((host, int(port)), _Handler).serve_forever()


if __name__ == "__main__":
    main()
