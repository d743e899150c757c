"""The request half without decisions, as the baseline of the latency experiment.

It routes, checks keys and streams as an instance does; targets are taken in turn,
and there is no standing, quota, detection or control half.
"""

import argparse
import itertools
import json
import pathlib
from types import SimpleNamespace

from attrs import define, field

from lacewinglift.addresses import AddressBook
from lacewinglift.admission import Decision
from lacewinglift.checks import load_configuration
from lacewinglift.concurrency import ConcurrencyLimiter
from lacewinglift.configuration import Configuration, Target
from lacewinglift.exchanges import ExchangeMonitor
from lacewinglift.forwarder import Forwarder
from lacewinglift.frontend import Frontend
from lacewinglift.outcomes import Outcome
from lacewinglift.request_handler import RequestComponents
from lacewinglift.shutdown import Shutdown
from lacewinglift.timers import ThreadTimers
from testing.standins.store import wait_for_signal


@define
class PlainAttempt:
    """A target taken in turn; nothing is recorded."""

    target: Target
    on_ejected: object = None

    def log_fields(self) -> dict[str, object]:
        """Return nothing: the target is not chosen by any data."""
        return {}

    def mark_response_started(self, latency_s: float) -> None:
        """Ignore the answer."""

    def record_rate_limit(self, limit_per_s: float | None, served: bool) -> None:
        """Ignore the rate that the target states."""

    def record_leaving(self) -> None:
        """Ignore that the target leaves."""

    def record_pause(self, duration_s: float) -> None:
        """Ignore the pause that the target states."""

    def finish(self, outcome: Outcome) -> None:
        """Ignore the outcome."""


class PlainTable:
    """Targets of each service in turn."""

    def __init__(self, configuration: Configuration) -> None:
        self.turns = {
            name: itertools.cycle(service.targets)
            for name, service in configuration.services.items()
        }

    def acquire(
        self, service_name: str, exclude: set[str], repeatable: bool = False
    ) -> PlainAttempt:
        """Return the next target."""
        return PlainAttempt(next(self.turns[service_name]))


@define
class PlainParts:
    """Answers of the parts that decide in an instance."""

    configuration: Configuration
    decision: object = field(factory=lambda: Decision(True))

    def current(self) -> Configuration:
        """Return the configuration."""
        return self.configuration

    def refusal(self) -> None:
        """Return None: keyed requests are always served."""

    def admit(self, workspace: object) -> object:
        """Admit every request."""
        return self.decision


def main() -> None:
    """Serve until a signal; prints a JSON line with the address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=pathlib.Path)
    options = parser.parse_args()
    configuration = load_configuration(*options.files)
    timers = ThreadTimers()
    plain = PlainParts(configuration)
    components = RequestComponents(
        timers=timers,
        distribution=plain,
        standing=plain,
        admission=plain,
        forwarder=Forwarder(PlainTable(configuration), timers),
        address_book=AddressBook("milano", list),
        shutdown=Shutdown(timers, lambda: 0.0, lambda: None, 1.0),
        concurrency_limiter=ConcurrencyLimiter(64),
        exchange_monitor=ExchangeMonitor(timers),
    )
    settings = SimpleNamespace(caller_address="127.0.0.1:0", worker_threads=64)
    frontend = Frontend(settings, components)
    frontend.start()
    print(json.dumps({"address": frontend.address}), flush=True)
    wait_for_signal()
    frontend.stop()
    timers.stop()


if __name__ == "__main__":
    main()
