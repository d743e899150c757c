"""State dump of an instance for operators, without keys or key digests."""

from typing import TYPE_CHECKING

from attrs import asdict

from lacewinglift import __version__
from lacewinglift.control import ControlPlane
from lacewinglift.generated import fleet_pb2
from lacewinglift.member_views import MemberView

if TYPE_CHECKING:
    from lacewinglift.instance import Instance


def dump_instance(instance: "Instance") -> dict[str, object]:
    """Return the state of an instance as JSON values."""
    control = instance.control
    return {
        "version": __version__,
        "identity": _identity(instance),
        "standing": _standing(control),
        "members": [_member(view) for view in control.members.views()],
        "configuration": _configuration(control),
        "ledger": _ledger(control.local_ledger.ledger()),
        "quota": control.admission.dump(),
        "targets": instance.targets.dump(),
        "requests": _requests(instance),
        "store": asdict(control.store.call_counts),
        "shutdown": instance.shutdown.state.value,
    }


def _identity(instance: "Instance") -> dict[str, object]:
    identity = {
        name: getattr(instance.identity, name)
        for name in (
            "instance",
            "fleet",
            "cell",
            "data_centre",
            "caller_address",
            "peer_address",
            "incarnation",
        )
    }
    identity["state"] = _state_name(instance.identity.state)
    return identity


def _standing(control: ControlPlane) -> dict[str, object]:
    now = control.timers.now()
    return {
        "refusal": control.standing.refusal(),
        "evidence_lasts_s": _finite(control.standing.valid_until_s - now),
        "store_contact_age_s": _finite(now - control.members.store_contact_at_s),
        "watches_store": control.store_reader.is_watcher(),
        "fenced": control.local_ledger.is_fenced(),
        "promises": [
            {
                "instance": promise.instance,
                "incarnation": promise.incarnation,
                "remaining_s": round(promise.until_s - now, 3),
            }
            for promise in control.members.views()[0].promises
        ],
    }


def _member(view: MemberView) -> dict[str, object]:
    return {
        "instance": view.instance,
        "incarnation": view.incarnation,
        "state": _state_name(view.state),
        "data_centre": view.data_centre,
        "caller_address": view.caller_address,
        "generation": view.generation,
        "ledger_version": view.ledger_version,
        "standing": view.standing,
        "demands_per_s": view.demands,
    }


def _configuration(control: ControlPlane) -> dict[str, object]:
    configuration = control.distribution.current()
    manifest = control.distribution.manifest
    return {
        "generation": manifest.generation,
        "author": manifest.author,
        "segments": len(manifest.segments),
        "segment_bytes": sum(s.size_bytes for s in manifest.segments),
        "services": 0 if configuration is None else len(configuration.services),
        "workspaces": 0 if configuration is None else len(configuration.workspaces),
    }


def _ledger(ledger: fleet_pb2.Ledger) -> dict[str, object]:
    return {
        "version": ledger.version,
        "members": [
            {
                "instance": member.instance,
                "incarnation": member.incarnation,
                "fenced_in_version": member.fenced_in_version,
            }
            for member in ledger.members
        ],
        "shares": {
            entry.workspace: {
                ledger.members[share.member].instance: {
                    "granted_ppm": share.granted_ppm,
                    "reserved_ppm": share.reserved_ppm,
                }
                for share in entry.shares
            }
            for entry in ledger.workspaces
        },
    }


def _requests(instance: "Instance") -> dict[str, object]:
    limiter = instance.components.concurrency_limiter
    return {
        "in_progress": limiter.in_progress,
        "by_service": dict(limiter.in_progress_by_service),
        "by_workspace": dict(limiter.in_progress_by_workspace),
        "caller_connections": instance.frontend.open_connections(),
    }


def _state_name(state: int) -> str:
    return fleet_pb2.InstanceState.Name(state).lower()


def _finite(value: float) -> float | None:
    return round(value, 3) if abs(value) != float("inf") else None
