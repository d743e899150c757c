"""Exceptions of lacewinglift; each class has a stable code."""

from collections.abc import Iterable
from typing import ClassVar

from attrs import frozen


@frozen(order=True)
class Fault:
    """One fault of a file that an operator wrote."""

    file: str
    line: int
    """Line of the file, counted from 1."""
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class LacewingliftError(Exception):
    """Base class of all errors; the message names what the user can do."""

    code: ClassVar[str] = "error"


class FaultsError(LacewingliftError):
    """Files that an operator wrote have faults.

    Parameters
    ----------
    message : str, default=""
        What is wrong; the faults, one a line, where it is empty.
    faults : iterable of Fault, default=()
        All faults that were found.
    """

    def __init__(self, message: str = "", faults: Iterable[Fault] = ()) -> None:
        self.faults = list(faults)
        super().__init__(message or "\n".join(map(str, self.faults)))


class SettingsError(FaultsError):
    """The settings of an instance cannot be used."""

    code = "settings"


class ConfigurationError(FaultsError):
    """A configuration has faults; nothing of it was published or applied."""

    code = "configuration"


class StoreError(LacewingliftError):
    """A call to the key-value service failed."""

    code = "store"


class StoreUnavailableError(StoreError):
    """The key-value service did not answer; a write may have taken effect."""

    code = "store_unavailable"


class StoreRefusedError(StoreError):
    """The key-value service answered that it did not carry out the call."""

    code = "store_refused"


class PublishConflictError(LacewingliftError):
    """Another operator published first; this publication is not in force.

    Parameters
    ----------
    message : str
        Who published, and what that changed.
    generation : int
        Generation that is in the store.
    """

    code = "publish_conflict"

    def __init__(self, message: str, generation: int) -> None:
        super().__init__(message)
        self.generation = generation


class PeerError(LacewingliftError):
    """A call to another instance failed."""

    code = "peer"


class LedgerError(LacewingliftError):
    """A quota ledger breaks a rule; it was not applied."""

    code = "ledger"
