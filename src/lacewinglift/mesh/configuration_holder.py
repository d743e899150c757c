"""Configuration in force at an instance of a mesh."""

import threading

from attrs import define, field

from lacewinglift.configuration import Configuration
from lacewinglift.timers import Timers


@define(eq=False)
class ConfigurationHolder:
    """Holds the configuration in force, whose generation never decreases."""

    timers: Timers
    configuration: Configuration | None = None
    serialized: bytes = b""
    """Value of the configuration in the store."""
    applied_at_s: float | None = None
    """Time at which the configuration took effect."""
    lock: threading.Lock = field(factory=threading.Lock)

    def current(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.configuration

    def generation(self) -> int:
        """Return the generation in force; 0 while there is none."""
        configuration = self.configuration
        return 0 if configuration is None else configuration.generation

    def apply_if_newer(self, configuration: Configuration, serialized: bytes) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        with self.lock:
            if configuration.generation <= self.generation():
                return False
            self.serialized = serialized
            self.applied_at_s = self.timers.now()
            self.configuration = configuration
            return True
