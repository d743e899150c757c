"""Registry of the ways in which an instance chooses targets."""

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from lacewinglift.mesh.target_choice import TargetChoice

ChoiceFactory = TypeVar("ChoiceFactory", bound="Callable[[Random], TargetChoice]")
TARGET_CHOICES: "dict[str, Callable[[Random], TargetChoice]]" = {}

LEAST_LOADED = "least_loaded"
COMPLETION_TIME = "completion_time"


def target_choice(name: str) -> Callable[[ChoiceFactory], ChoiceFactory]:
    """Register a way of choosing under the name that settings refer to it by."""

    def register(factory: ChoiceFactory) -> ChoiceFactory:
        TARGET_CHOICES[name] = factory
        return factory

    return register
