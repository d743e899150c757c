"""Measure validation, encoding and decoding of a configuration of the planned size.

Each step runs in its own process, so that its memory figures include no other step.
Memory is the resident set size; "kept" is its increase since the start of the step.
"""

import argparse
import gc
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src")]

from lacewinglift.checks import load_configuration  # noqa: E402
from lacewinglift.configuration import Configuration  # noqa: E402
from lacewinglift.errors import ConfigurationError  # noqa: E402
from lacewinglift.generated.fleet_pb2 import Manifest  # noqa: E402
from lacewinglift.segments import (  # noqa: E402
    EncodedConfiguration,
    decode_configuration,
    encode_configuration,
)

DATA_CENTRES = [f"dc-{number}" for number in range(9)]
LOOKUPS = 20_000


def key_digest(workspace: int, key: int) -> str:
    return hashlib.sha256(f"measured-{workspace}-{key}".encode()).hexdigest()


def write_files(folder: pathlib.Path, options: argparse.Namespace) -> None:
    per_service = options.targets / options.services
    services = {}
    for number in range(options.services):
        first, last = round(number * per_service), round((number + 1) * per_service)
        services[f"service-{number:04}"] = {
            "floor": 0.5,
            "target_defaults": {"slots": 6, "connections": 4000},
            "targets": {
                f"target-{each:05}": {
                    "address": f"10.{each // 16000}.{each // 250 % 64}"
                    f".{each % 250 + 1}:8080",
                    "data_centre": DATA_CENTRES[each % 9],
                }
                for each in range(first, last)
            },
        }
    routes = {
        f"/area-{number % 100}/route-{number}": {
            "service": f"service-{number % options.services:04}"
        }
        for number in range(options.routes)
    }
    workspaces = {
        f"workspace-{number:05}": {
            "rate_per_s": 5,
            "burst": 10,
            "key_digests": [key_digest(number, 0), key_digest(number, 1)],
        }
        for number in range(options.workspaces)
    }
    fleet = {"name": "measured", "data_centres": DATA_CENTRES, "instances": 2200}
    base = {
        "fleet": fleet,
        "services": services,
        "routes": routes,
        "workspaces": workspaces,
    }
    (folder / "base.jsonc").write_text(json.dumps(base, indent=1))
    overlay = {"services": {"service-0000": {"floor": 0.4}}}
    (folder / "site-one.jsonc").write_text(json.dumps(overlay))


def memory_mb(field: str = "VmRSS") -> float:
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"no {field} in /proc/self/status")


def peak_mb() -> float:
    # ru_maxrss of getrusage would include the memory of the parent before exec.
    return memory_mb("VmHWM")


def timed(function):
    start = time.perf_counter()
    result = function()
    return result, time.perf_counter() - start


def load(folder: pathlib.Path) -> Configuration:
    return load_configuration(folder / "base.jsonc", folder / "site-one.jsonc")


def step_check(folder: pathlib.Path) -> None:
    _, seconds = timed(lambda: load(folder))
    size = (folder / "base.jsonc").stat().st_size / 1e6
    print(f"check: {seconds:.2f} s, peak {peak_mb():.0f} MB, base file {size:.1f} MB")


def step_faults(folder: pathlib.Path) -> None:
    text = (folder / "base.jsonc").read_text()
    broken = folder / "broken.jsonc"
    broken.write_text(text.replace('"burst": 10', '"burst": "10"', 100))
    start = time.perf_counter()
    try:
        load_configuration(broken)
    except ConfigurationError as error:
        seconds = time.perf_counter() - start
        print(f"check with {len(error.faults)} faults: {seconds:.2f} s")


def step_encode(folder: pathlib.Path) -> None:
    configuration = load(folder)
    encoded, seconds = timed(lambda: encode_configuration(configuration, "measure"))
    sizes = [len(content) for content in encoded.segments.values()]
    print(
        f"encode: {seconds:.2f} s, {len(sizes)} segments, {sum(sizes) / 1e6:.1f} MB, "
        f"largest {max(sizes)} bytes, manifest {encoded.manifest.ByteSize()} bytes"
    )
    for name, changed in make_changed_configurations(configuration).items():
        new = encode_configuration(changed, "measure")
        sent = [
            len(content)
            for sha256, content in new.segments.items()
            if sha256 not in encoded.segments
        ]
        total = sum(sent) + new.manifest.ByteSize()
        print(f"  change of {name}: {len(sent)} segments, {total} bytes with manifest")
        if name == "a withdrawn key":
            write_encoded(folder / "next", new, encoded.segments)
    write_encoded(folder / "first", encoded, {})


def make_changed_configurations(
    configuration: Configuration,
) -> dict[str, Configuration]:
    """Return configurations that each differ from the given one in one entry."""
    workspaces = dict(configuration.workspaces)
    one = workspaces["workspace-00007"]
    rate = {**workspaces, one.name: attrs.evolve(one, rate_per_s=6.0)}
    key = {**workspaces, one.name: attrs.evolve(one, key_digests=one.key_digests[:1])}
    service = configuration.services["service-0007"]
    leaving = attrs.evolve(service.targets[0], leaving=True)
    service = attrs.evolve(service, targets=(leaving, *service.targets[1:]))
    services = {**configuration.services, service.name: service}
    routes = (
        attrs.evolve(configuration.routes[0], open=True),
        *configuration.routes[1:],
    )
    return {
        "a workspace's rate": attrs.evolve(configuration, workspaces=rate),
        "a withdrawn key": attrs.evolve(configuration, workspaces=key),
        "a leaving target": attrs.evolve(configuration, services=services),
        "an open route": attrs.evolve(configuration, routes=routes),
    }


def write_encoded(
    folder: pathlib.Path, encoded: EncodedConfiguration, known: dict[bytes, bytes]
) -> None:
    folder.mkdir()
    (folder / "manifest").write_bytes(encoded.manifest.SerializeToString())
    for sha256, content in encoded.segments.items():
        if sha256 not in known:
            (folder / sha256.hex()).write_bytes(content)


def read_encoded(folder: pathlib.Path) -> tuple[Manifest, dict[bytes, bytes]]:
    manifest = Manifest.FromString((folder / "manifest").read_bytes())
    segments = {
        bytes.fromhex(path.name): path.read_bytes()
        for path in folder.iterdir()
        if path.name != "manifest"
    }
    return manifest, segments


def step_load(folder: pathlib.Path) -> None:
    gc.collect()
    before = memory_mb()
    # The segments count as kept memory, as an instance holds the bytes it received.
    manifest, segments = read_encoded(folder / "first")
    received = memory_mb() - before
    first, seconds = timed(lambda: decode_configuration(manifest, segments))
    gc.collect()
    print(
        f"load: {seconds:.2f} s, kept {memory_mb() - before:.0f} MB, of which "
        f"{received:.0f} MB are the segments"
    )
    manifest, fresh = read_encoded(folder / "next")
    segments = {**segments, **fresh}
    second, seconds = timed(lambda: decode_configuration(manifest, segments, first))
    gc.collect()
    kept = memory_mb() - before
    print(f"load of the next generation: {seconds:.3f} s, kept {kept:.0f} MB with both")
    measure_lookups(second, before)


def measure_lookups(configuration: Configuration, before: float) -> None:
    count = len(configuration.workspaces)
    digests = [
        bytes.fromhex(key_digest(7 * each % count, 0)) for each in range(LOOKUPS)
    ]
    hits = [digests[each % 1000] for each in range(LOOKUPS)]
    for name, wanted in (("all workspaces", digests), ("1,000 workspaces", hits)):
        _, seconds = timed(
            lambda wanted=wanted: [
                configuration.workspace_for_digest(digest) for digest in wanted
            ]
        )
        print(f"  lookup of a key among {name}: {seconds / LOOKUPS * 1e6:.1f} us")
    _, seconds = timed(
        lambda: [
            configuration.route_for(f"/area-{each % 100}/route-{each % 9000}/x/y")
            for each in range(LOOKUPS)
        ]
    )
    print(f"  route: {seconds / LOOKUPS * 1e6:.1f} us")
    names, seconds = timed(lambda: sum(1 for _ in configuration.workspaces.values()))
    print(f"  pass over {names} workspaces: {seconds:.2f} s")
    gc.collect()
    print(
        f"  kept after lookups: {memory_mb() - before:.0f} MB, peak {peak_mb():.0f} MB"
    )


STEPS = {
    "check": step_check,
    "faults": step_faults,
    "encode": step_encode,
    "load": step_load,
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workspaces", type=int, default=45_000)
    parser.add_argument("--routes", type=int, default=9_000)
    parser.add_argument("--services", type=int, default=1_300)
    parser.add_argument("--targets", type=int, default=35_000)
    parser.add_argument("--step", choices=sorted(STEPS), help=argparse.SUPPRESS)
    parser.add_argument("--folder", type=pathlib.Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.step:
        STEPS[options.step](options.folder)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        write_files(pathlib.Path(folder), options)
        for step in STEPS:
            command = [sys.executable, __file__, "--step", step, "--folder", folder]
            subprocess.run(command, check=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
