import argparse
import hashlib
import io
import json
import pathlib
import socket

import pytest

from lacewinglift import checks
from lacewinglift.commands import check, digest, publish
from lacewinglift.configuration import digest_key
from lacewinglift.segments import decode_configuration, encode_configuration
from testing.standins.store import StoreStandIn

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
EXPECTED_SIZES = {
    "pilarossi": ({"catalogo": 9, "cassa": 15, "archivio": 6}, 6, 330, 36),
    "sfax": ({"catalogue": 10, "order-ledger": 18, "pattern-store": 6}, 2, 360, 40),
}


def run(module, *arguments):

    parser = argparse.ArgumentParser()
    module.register(parser.add_subparsers())
    options = parser.parse_args([module.__name__.rsplit(".", 1)[1], *arguments])
    return options.run(options)


def load_example(fleet):
    base = EXAMPLES / fleet / "base.jsonc"
    return checks.load_configuration(base, *checks.listed_overlay_paths(base))


@pytest.mark.parametrize("fleet", sorted(EXPECTED_SIZES))
def test_examples_have_the_designed_sizes(fleet):
    """Guards against invalid examples, because operators copy them."""
    targets, slots, connections, instances = EXPECTED_SIZES[fleet]
    configuration = load_example(fleet)
    services = configuration.services
    assert {name: len(each.targets) for name, each in services.items()} == targets
    for service in services.values():
        assert {target.slots for target in service.targets} == {slots}
        assert {target.connections for target in service.targets} == {connections}
    assert configuration.fleet.instances == instances
    assert len(configuration.fleet.data_centres) == 3
    assert len(configuration.workspaces) == 8
    assert {route.open for route in configuration.routes} == {True, False}
    encoded = encode_configuration(configuration, "ann")
    decoded = decode_configuration(encoded.manifest, encoded.segments)
    assert decoded.services == services


@pytest.mark.parametrize("fleet", sorted(EXPECTED_SIZES))
def test_sample_keys_work_and_are_not_in_the_files(fleet):
    """Guards against plain-text keys in example files and digests of other keys."""
    configuration = load_example(fleet)
    for name in configuration.workspaces:
        found = configuration.workspace_for_digest(
            digest_key(f"sample-{fleet}-{name}-1")
        )
        assert found is not None and found.name == name
    for path in (EXAMPLES / fleet).iterdir():
        assert "sample-" not in path.read_text()


def test_check_reports_counts_and_faults(tmp_path, capsys):
    """Guards against a check that misses faults or omits the line number."""
    base = EXAMPLES / "sfax" / "base.jsonc"
    assert run(check, str(base), "--json") == 0
    result = json.loads(capsys.readouterr().out)
    assert (result["targets"], result["keys"]) == (34, 11)
    broken = tmp_path / "base.jsonc"
    broken.write_text(base.read_text().replace('"floor": 0.5', '"flor": 0.5', 1))
    overlays = [str(path) for path in checks.listed_overlay_paths(base)]
    assert run(check, str(broken), *overlays) == 1
    line = base.read_text()[: base.read_text().index('"floor"')].count("\n") + 1
    assert f"{broken}:{line}: 'flor' is not known" in capsys.readouterr().err
    assert run(check, str(broken), *overlays, "--json") == 1
    assert json.loads(capsys.readouterr().out)["faults"][0]["line"] == line


def test_check_needs_all_overlays(capsys):
    """Guards against publishing without the targets of a data centre."""
    folder = EXAMPLES / "pilarossi"
    arguments = [str(folder / "base.jsonc"), str(folder / "site-milano.jsonc")]
    assert run(check, *arguments) == 1
    assert "'site-torino.jsonc' of site 'torino'" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("data", "code"),
    [(b"key\n", 0), (b"key", 0), (b"\n", 1), (b"two words", 1), (b"k" * 5000, 1)],
)
def test_digest_is_of_the_key_without_line_end(monkeypatch, capsys, data, code):
    """Guards against a digest that includes the line end typed in a terminal."""
    stream = io.TextIOWrapper(io.BytesIO(data))
    monkeypatch.setattr("sys.stdin", stream)
    assert run(digest) == code
    expected = hashlib.sha256(b"key").hexdigest() + "\n" if code == 0 else ""
    assert capsys.readouterr().out == expected


def test_publish_uses_its_exit_codes(capsys):
    """Guards against scripts that treat a failed publication as successful."""
    base = str(EXAMPLES / "pilarossi" / "base.jsonc")
    with socket.create_server(("127.0.0.1", 0)) as closed:
        unused = f"127.0.0.1:{closed.getsockname()[1]}"
    assert run(publish, base, "--store", unused) == 3
    assert "nothing was published" in capsys.readouterr().err
    stand_in = StoreStandIn()
    try:
        store = ["--store", stand_in.address, "--wait", "0.1", "--json"]
        assert run(publish, base, *store) == 0
        assert json.loads(capsys.readouterr().out)["generation"] == 1
        assert run(publish, base, *store, "--expect-generation", "7") == 4
        assert run(publish, base, *store, "--peer", "127.0.0.1:1") == 5
    finally:
        stand_in.close()
    assert run(publish, base, "site-none.jsonc", *store) == 1


@pytest.mark.parametrize("schema", ["configuration", "settings"])
def test_every_name_is_documented(schema):
    """Guards against settings that are missing in the documentation."""
    root = EXAMPLES.parent
    text = (root / "docs" / "configuration.md").read_text()
    found = json.loads((root / "schema" / f"{schema}.schema.json").read_text())
    objects = [found, *found.get("definitions", {}).values()]
    names = {name for each in objects for name in each.get("properties", {})}
    assert len(names) > 10
    assert [name for name in sorted(names) if f"`{name}`" not in text] == []
