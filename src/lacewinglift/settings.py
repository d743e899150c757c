"""Settings of an instance, which are read from a file when it starts."""

import ipaddress
import pathlib

from attrs import frozen

from lacewinglift._validation import collect_findings
from lacewinglift.errors import Fault, SettingsError
from lacewinglift.generated.settings_schema import validate
from lacewinglift.jsonc import Document, Path, read_document

_ADDRESSES = ("caller_address", "peer_address", "store_address")


@frozen
class Settings:
    """Settings of an instance; the fields have the names of the keys in the file."""

    instance: str
    fleet: str
    data_centre: str
    caller_address: str
    """host:port that accepts connections of callers."""
    peer_address: str
    store_address: str
    cell: str = "main"
    seeds: tuple[str, ...] = ()
    """Peer addresses of instances to contact if the store is unavailable."""
    operator_networks: tuple[str, ...] = ("127.0.0.0/8", "::1/128")
    """Networks from which /metrics may be read."""
    worker_threads: int = 64
    stop_bound_s: float = 60.0
    """Maximum duration of a graceful stop."""


def load_settings(path: str | pathlib.Path) -> Settings:
    """Return the settings in the file at `path`.

    Raises
    ------
    SettingsError
        If the file has faults; the error contains all of them.
    """
    document = read_document(path)
    faults = list(document.faults)
    if document.is_readable:
        findings = collect_findings(validate, document.value)
        findings = findings or _validate_addresses(document)
        faults += [Fault(str(path), document.line(at), text) for at, text in findings]
    if faults:
        raise SettingsError(faults=sorted(faults))
    return _to_settings(document.value)


def _to_settings(value: dict) -> Settings:
    lists = {
        name: tuple(value[name])
        for name in ("seeds", "operator_networks")
        if name in value
    }
    return Settings(**{**value, **lists})


def _validate_addresses(document: Document) -> list[tuple[Path, str]]:
    value = document.value
    paths: list[Path] = [(name,) for name in _ADDRESSES]
    paths += [("seeds", index) for index in range(len(value.get("seeds", ())))]
    findings = [
        (path, "the port of an address is at most 65535")
        for path in paths
        if _port(_value_at(value, path)) > 65535
    ]
    for index, network in enumerate(value.get("operator_networks", ())):
        try:
            ipaddress.ip_network(network)
        except ValueError as error:
            findings.append((("operator_networks", index), str(error)))
    return findings


def _value_at(value: dict, path: Path) -> str:
    found = value[path[0]]
    return found if len(path) == 1 else found[path[1]]


def _port(address: str) -> int:
    return int(address.rsplit(":", 1)[1])
