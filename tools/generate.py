"""Generate the modules in ``src/lacewinglift/generated`` from ``schema``."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

import fastjsonschema

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
PACKAGE = pathlib.Path("lacewinglift") / "generated"
OUTPUT = ROOT / "src" / PACKAGE


def generate_messages(destination: pathlib.Path) -> None:
    plugin = pathlib.Path(sys.executable).parent / "protoc-gen-grpclib_python"
    protos = sorted((SCHEMA / PACKAGE).glob("*.proto"))
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        f"--proto_path={SCHEMA}",
        f"--plugin=protoc-gen-grpclib_python={plugin}",
        f"--python_out={destination}",
        f"--pyi_out={destination}",
        f"--grpclib_python_out={destination}",
        *[str(proto) for proto in protos],
    ]
    subprocess.run(command, check=True)


def generate_validators(destination: pathlib.Path) -> None:
    for schema in sorted(SCHEMA.glob("*.schema.json")):
        code = fastjsonschema.compile_to_code(json.loads(schema.read_text()))
        name = schema.name.removesuffix(".schema.json") + "_schema.py"
        (destination / PACKAGE / name).write_text(code)


def generate_log_events(destination: pathlib.Path) -> None:
    events = json.loads((SCHEMA / "log_events.json").read_text())
    rows = "".join(f"    {name!r}: {events[name]!r},\n" for name in sorted(events))
    code = f'"""Events of the logs."""\n\nLOG_EVENTS = {{\n{rows}}}\n'
    (destination / PACKAGE / "log_events.py").write_text(code)


def generate(destination: pathlib.Path) -> None:
    target = destination / PACKAGE
    target.mkdir(parents=True, exist_ok=True)
    (target / "__init__.py").write_text('"""Code generated from schema."""\n')
    generate_messages(destination)
    generate_validators(destination)
    generate_log_events(destination)
    for empty in target.glob("*_grpc.py"):
        if "class " not in empty.read_text():
            empty.unlink()


def outdated_files(fresh: pathlib.Path) -> list[str]:
    names = {path.name for path in (fresh / PACKAGE).iterdir() if path.is_file()}
    names |= {path.name for path in OUTPUT.iterdir() if path.is_file()}
    outdated = []
    for name in sorted(names):
        new = fresh / PACKAGE / name
        old = OUTPUT / name
        if not new.exists() or not old.exists() or new.read_bytes() != old.read_bytes():
            outdated.append(name)
    return outdated


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only compare")
    options = parser.parse_args()
    if not options.check:
        generate(ROOT / "src")
        return 0
    with tempfile.TemporaryDirectory() as folder:
        fresh = pathlib.Path(folder)
        generate(fresh)
        outdated = outdated_files(fresh)
    if outdated:
        print(f"outdated: {', '.join(outdated)}; run 'make generate' and commit")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
