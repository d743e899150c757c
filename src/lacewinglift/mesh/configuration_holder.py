"""The configuration in force at an instance of a mesh."""

import threading

from attrs import define, field

from lacewinglift.configuration import Configuration
from lacewinglift.timers import Timers


@define(eq=False)
class ConfigurationHolder:
    """The configuration in force; its generation never goes back."""

    timers: Timers
    configuration: Configuration | None = None
    serialized: bytes = b""
    """The configuration as it stands in the store."""
    applied_at_s: float | None = None
    """Time at which the configuration was put into force."""
    lock: threading.Lock = field(factory=threading.Lock)

    def current(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.configuration

    def generation(self) -> int:
        """Return the generation in force; 0 before the first."""
        configuration = self.configuration
        return 0 if configuration is None else configuration.generation

    def apply_if_newer(self, configuration: Configuration, value: bytes) -> bool:
        """Put a configuration into force if it is newer."""
        with self.lock:
            if configuration.generation <= self.generation():
                return False
            self.serialized = value
            self.applied_at_s = self.timers.now()
            self.configuration = configuration
            return True
