"""Reads the metrics of instances."""

from collections import Counter
from collections.abc import Iterable

import urllib3
from prometheus_client.parser import text_string_to_metric_families

Sample = tuple[str, tuple[tuple[str, str], ...]]


def parse_metrics(text: str) -> dict[Sample, float]:
    """Return all samples by name and labels."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def scrape(address: str) -> dict[Sample, float]:
    """Return all samples of the instance at `address`."""
    url = f"http://{address}/metrics"
    reply = urllib3.request("GET", url, timeout=5.0, retries=False)
    if reply.status != 200:
        raise ValueError(f"{url} answered {reply.status}; is this an operator network?")
    return parse_metrics(reply.data.decode())


def totals(addresses: Iterable[str], name: str, label: str) -> Counter[str]:
    """Return a metric of all instances together, by the values of one label."""
    result: Counter[str] = Counter()
    for address in addresses:
        for (sample, labels), value in scrape(address).items():
            if sample == name:
                result[dict(labels).get(label, "")] += int(value)
    return result
