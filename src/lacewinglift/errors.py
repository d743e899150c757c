"""Exceptions of lacewinglift; each class has a stable code."""

from typing import ClassVar


class LacewingliftError(Exception):
    """Base class of all errors; the message names what the user can do."""

    code: ClassVar[str] = "error"


class SettingsError(LacewingliftError):
    """The settings of an instance cannot be used."""

    code = "settings"


class ConfigurationError(LacewingliftError):
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
    """Another operator published first."""

    code = "publish_conflict"


class PeerError(LacewingliftError):
    """A call to another instance failed."""

    code = "peer"


class LedgerError(LacewingliftError):
    """A quota ledger breaks a rule; it was not applied."""

    code = "ledger"
