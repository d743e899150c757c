"""Sample deployment: the watch battery kiosks of Pilarossi."""

import hashlib
import json
import pathlib
import secrets
from typing import Any

from attrs import field, frozen

FLEET = "pilarossi"
DATA_CENTRES = ("milano", "torino", "verona")
KEY_HEADER = "Authorization"

_COMMENT_BASE = "// Services, routes and workspaces; keys are SHA-256 digests.\n"
_COMMENT_SITE = "// What differs at this site: data centres, targets, sizes.\n"


@frozen
class ServicePlan:
    """One service and how its stand-ins behave."""

    targets: int
    delay_ms: float
    jitter_ms: float
    floor: float
    request_timeout_s: float


@frozen
class RoutePlan:
    """One route."""

    path: str
    service: str
    open: bool = False


@frozen
class WorkspacePlan:
    """Rate and burst of one workspace."""

    rate_per_s: float
    burst: int


# Numbers of targets, slots and connections are those of section 2 of the design.
SERVICES = {
    "catalogo": ServicePlan(9, 4.0, 2.0, 0.6, 3.0),
    "cassa": ServicePlan(15, 10.0, 4.0, 0.6, 3.0),
    "archivio": ServicePlan(6, 20.0, 8.0, 0.5, 10.0),
}
SLOTS = 6
CONNECTIONS = 330

ROUTES = (
    RoutePlan("/catalogo", "catalogo"),
    RoutePlan("/catalogo/vetrina", "catalogo", open=True),
    RoutePlan("/cassa", "cassa"),
    RoutePlan("/archivio", "archivio"),
)

# The sum is 114 requests/s for each of six instances.
WORKSPACES = {
    "stazione-centrale": WorkspacePlan(240, 240),
    "porta-nuova": WorkspacePlan(180, 180),
    "arena": WorkspacePlan(120, 120),
    "navigli": WorkspacePlan(50, 50),
    "lingotto": WorkspacePlan(40, 40),
    "borgo-trento": WorkspacePlan(24, 24),
    "isola": WorkspacePlan(20, 20),
    "crocetta": WorkspacePlan(10, 10),
}
PLANNED_INSTANCES = 6


def digest(key: str) -> str:
    """Return a key's digest as configuration files have it."""
    return hashlib.sha256(key.encode()).hexdigest()


def target_names(service: str) -> list[str]:
    """Return the names of a service's targets."""
    count = SERVICES[service].targets
    return [f"{service}-{number}" for number in range(1, count + 1)]


def behaviour(service: str) -> dict[str, Any]:
    """Return the behaviour of a service's stand-ins."""
    plan = SERVICES[service]
    return {"delay_ms": plan.delay_ms, "jitter_ms": plan.jitter_ms, "slots": SLOTS}


@frozen
class Deployment:
    """Configuration files of the sample, with fresh keys.

    Parameters
    ----------
    instances : int
        Number of instances that share the targets.
    address_lifetime_s : float
        Lifetime of address answers.
    rate_scale : float, default=1.0
        Factor of all rates.
    """

    instances: int
    address_lifetime_s: float
    rate_scale: float = 1.0
    keys: dict[str, str] = field(
        factory=lambda: {name: secrets.token_urlsafe(24) for name in WORKSPACES}
    )
    extra_keys: dict[str, str] = field(
        factory=lambda: {name: secrets.token_urlsafe(24) for name in WORKSPACES}
    )
    """Second key of each workspace, for the withdrawal of one."""

    def data_centre(self, number: int) -> str:
        """Return the data centre of the instance or target with a number."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def rates(self) -> dict[str, float]:
        """Return the rate of each workspace, scaled to the number of instances."""
        scale = max(self.instances / PLANNED_INSTANCES, 1.0) * self.rate_scale
        return {name: plan.rate_per_s * scale for name, plan in WORKSPACES.items()}

    def base(self, withdrawn: frozenset[str] = frozenset()) -> dict[str, Any]:
        """Return the base file, without the digests of `withdrawn` keys."""
        rates = self.rates()
        return {
            "fleet": {"name": FLEET, "data_centres": list(DATA_CENTRES)},
            "services": {
                name: {
                    "floor": plan.floor,
                    "request_timeout_s": plan.request_timeout_s,
                    "max_concurrent": 64,
                    "target_defaults": {"slots": SLOTS, "connections": CONNECTIONS},
                    "targets": {},
                }
                for name, plan in SERVICES.items()
            },
            "routes": {
                route.path: {"service": route.service, "open": route.open}
                for route in ROUTES
            },
            "workspaces": {
                name: {
                    "rate_per_s": rates[name],
                    "burst": int(rates[name]),
                    "max_concurrent": 64,
                    "key_digests": self._digests(name, withdrawn),
                }
                for name in WORKSPACES
            },
        }

    def overlay(self, targets: dict[str, str]) -> dict[str, Any]:
        """Return the overlay of the site, given the addresses of the targets."""
        return {
            "fleet": {
                "address_lifetime_s": self.address_lifetime_s,
                "instances": self.instances,
            },
            "services": {
                service: {
                    "targets": {
                        name: {
                            "address": targets[name],
                            "data_centre": self.data_centre(number),
                        }
                        for number, name in enumerate(target_names(service))
                    }
                }
                for service in SERVICES
            },
        }

    def _digests(self, workspace: str, withdrawn: frozenset[str]) -> list[str]:
        keys = (self.keys[workspace], self.extra_keys[workspace])
        return [digest(key) for key in keys if key not in withdrawn]


@frozen
class ConfigurationFolder:
    """The files that an operator edits and publishes."""

    folder: pathlib.Path

    @property
    def base(self) -> pathlib.Path:
        """Return the path of the base file."""
        return self.folder / "base.jsonc"

    @property
    def overlay(self) -> pathlib.Path:
        """Return the path of the overlay."""
        return self.folder / f"site-{FLEET}.jsonc"

    def write_base(self, value: dict[str, Any]) -> None:
        """Write the base file."""
        self.base.write_text(_COMMENT_BASE + json.dumps(value, indent=2) + "\n")

    def write_overlay(self, value: dict[str, Any]) -> None:
        """Write the overlay."""
        self.overlay.write_text(_COMMENT_SITE + json.dumps(value, indent=2) + "\n")
