"""Exceptions of lacewinglift, each class with a stable error code."""

from collections.abc import Iterable
from typing import ClassVar

from attrs import frozen


@frozen(order=True)
class Fault:
    """One fault in a configuration or settings file."""

    file: str
    line: int
    """Line number, counted from 1."""
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class LacewingliftError(Exception):
    """Base class of all errors; the message says what the user can do."""

    code: ClassVar[str] = "error"


class FaultsError(LacewingliftError):
    """Configuration or settings files have faults.

    Parameters
    ----------
    message : str, default=""
        Description of the error. If empty, the message lists the faults, one per line.
    faults : iterable of Fault, default=()
        All faults found in the files.
    """

    def __init__(self, message: str = "", faults: Iterable[Fault] = ()) -> None:
        self.faults = list(faults)
        super().__init__(message or "\n".join(map(str, self.faults)))


class SettingsError(FaultsError):
    """The settings of an instance cannot be used."""

    code = "settings"


class ConfigurationError(FaultsError):
    """A configuration has faults; no part of it was published or applied."""

    code = "configuration"


class StoreError(LacewingliftError):
    """A call to the key-value service failed."""

    code = "store"


class StoreUnavailableError(StoreError):
    """The key-value service did not answer; a write may have been applied."""

    code = "store_unavailable"


class StoreRefusedError(StoreError):
    """The key-value service answered that it rejected the call."""

    code = "store_refused"


class PublishConflictError(LacewingliftError):
    """Another operator published first; this configuration was not published.

    Parameters
    ----------
    message : str
        Names the other operator and what that publication changed.
    generation : int
        Generation that the store contains.
    """

    code = "publish_conflict"

    def __init__(self, message: str, generation: int) -> None:
        super().__init__(message)
        self.generation = generation


class PeerError(LacewingliftError):
    """A call to another instance failed."""

    code = "peer"


class LedgerError(LacewingliftError):
    """A quota ledger is invalid and was not applied."""

    code = "ledger"
