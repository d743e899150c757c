"""Show that tests notice faults: apply each known fault and expect a failure.

Each mutation is applied to a scratch copy of the tree, and the tests that guard
against it are run there. A mutation that no test notices is reported, and the
exit code is 1.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

from attrs import frozen

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARTS = (
    "src",
    "platform",
    "testing",
    "examples",
    "schema",
    "tools",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
# pytest's exit code if tests ran and some failed; others than 0 mean that none ran.
TESTS_FAILED = 1
TIMEOUT_S = 600.0
_VERDICTS = {0: "NOT NOTICED", TESTS_FAILED: "noticed"}


@frozen
class Mutation:
    """A fault, and the tests that must fail with it."""

    name: str
    rule: str
    file: str
    old: str
    new: str
    tests: str
    """Arguments of pytest."""


MUTATIONS = (
    Mutation(
        "echo-age-ignored",
        "key-withdrawn",
        "standing.py",
        "ECHO_MAX_AGE_S = 4.0",
        "ECHO_MAX_AGE_S = 4000.0",
        "testing/test_control.py -k cut_off_from_all",
    ),
    Mutation(
        "silent-peers-still-echoed",
        "quota",
        "members.py",
        "        if self._promised_no_echo(record.instance, record.incarnation, now):\n"
        "            return\n",
        "",
        "testing/test_standing.py -k no_echo",
    ),
    Mutation(
        "newest-ledger-not-needed",
        "quota",
        "standing.py",
        "            or version > self.members.ledger_version\n",
        "",
        "testing/test_standing.py -k needs_newest_ledger",
    ),
    Mutation(
        "newer-generation-not-needed",
        "configuration",
        "standing.py",
        "            or generation > self.members.generation\n",
        "",
        "testing/test_standing.py -k newer_generation",
    ),
    Mutation(
        "generation-may-fall",
        "configuration",
        "distribution.py",
        "if manifest.generation <= self.manifest.generation:",
        "if manifest.generation == self.manifest.generation:",
        "testing/test_control.py -k does_not_revert",
    ),
    Mutation(
        "fence-frees-at-once",
        "quota",
        "allocator.py",
        "up_to_date = inputs.up_to_date_members() - newly_fenced",
        "up_to_date = inputs.up_to_date_members()",
        "testing/test_allocator.py",
    ),
    Mutation(
        "no-wait-before-release",
        "quota",
        "_fencing.py",
        "FENCE_WAIT_S = 6.0",
        "FENCE_WAIT_S = 0.0",
        "testing/test_allocator.py -k after_the_wait",
    ),
    Mutation(
        "pause-not-noticed",
        "quota",
        "standing.py",
        "if self.lapsed or self.timers.now() > self.valid_until_s:",
        "if self.lapsed:",
        "testing/test_standing.py -k after_pause",
    ),
    Mutation(
        "standing-not-checked",
        "key-withdrawn",
        "standing.py",
        '            return "isolated"\n',
        "            return None\n",
        "testing/test_processes.py -k withdrawn_meanwhile",
    ),
    Mutation(
        "not-run-forgotten-by-later-attempt",
        "not-run",
        "attempt_loop.py",
        "        if (\n            self.reported_failure is None\n"
        "            or self.reported_failure.verdict is Verdict.NOT_RUN\n        ):\n",
        "        if True:\n",
        "testing/test_retries.py",
    ),
    Mutation(
        "sent-bytes-not-noted",
        "not-run",
        "pools.py",
        "        self.send_started = True\n",
        "",
        "testing/test_retries.py",
    ),
    Mutation(
        "untrusted-503-taken-for-not-run",
        "not-run",
        "attempt_loop.py",
        'response.headers.get(self.dialect.not_run_header) == "1"',
        "True",
        "testing/test_forwarder.py -k untrusted_503",
    ),
    Mutation(
        "resend-after-may-have-run",
        "at-most-once",
        "retries.py",
        "return verdict is Verdict.NOT_RUN or idempotent",
        "return True",
        "testing/test_retries.py",
    ),
    Mutation(
        "bytes-after-answer-ignored",
        "own-answer",
        "pools.py",
        "self.complete and not self.has_trailing_bytes and",
        "self.complete and",
        "testing/test_forwarder.py -k bytes_after",
    ),
    Mutation(
        "interim-answer-taken-for-final",
        "own-answer",
        "pools.py",
        "if status >= 200:",
        "if status >= 102:",
        "testing/test_forwarder.py -k complete_response",
    ),
    Mutation(
        "cut-head-accepted",
        "own-answer",
        "pools.py",
        '        if not line.endswith(b"\\n"):\n'
        '            raise InvalidResponseError("the head',
        '        if False:\n            raise InvalidResponseError("the head',
        "testing/test_pools.py",
    ),
    Mutation(
        "cut-upload-keeps-connection",
        "own-answer",
        "attempt_calls.py",
        "if raw.reusable and upload_finished and",
        "if raw.reusable and",
        "testing/test_forwarder.py -k early_response",
    ),
    Mutation(
        "key-passed-on",
        "key-hidden",
        "headers.py",
        '    "authorization",\n    "content-length",\n    "expect"',
        '    "content-length",\n    "expect"',
        "testing/test_frontend.py -k key_never",
    ),
    Mutation(
        "key-not-checked-again",
        "key-withdrawn",
        "access.py",
        "if configuration is not self.checked_configuration:",
        "if False:",
        "testing/test_forwarder.py -k withdrawn_key",
    ),
    Mutation(
        "standing-not-checked-again",
        "key-withdrawn",
        "access.py",
        "return full and self.standing.refusal() is not None",
        "return False",
        "testing/test_forwarder.py -k lost_access",
    ),
    Mutation(
        "route-right-ignored",
        "workspace",
        "access.py",
        "if not route.allows(workspace.name):",
        "if False:",
        "testing/test_frontend.py -k unauthorized",
    ),
    Mutation(
        "callers-trusted-header-passed",
        "workspace",
        "headers.py",
        "and not name.lower().startswith(TRUSTED_PREFIX)",
        "and True",
        "testing/test_frontend.py -k trusted",
    ),
    Mutation(
        "two-lengths-accepted",
        "workspace",
        "headers.py",
        "if len(lengths) > 1:",
        "if False:",
        "testing/test_headers.py",
    ),
    Mutation(
        "lifetime-not-awaited",
        "graceful",
        "shutdown.py",
        "self._wait(lambda: self.timers.now() >= leave_until_s, deadline_s)",
        "pass",
        "testing/test_shutdown.py -k cuts_no_request",
    ),
    Mutation(
        "connections-not-awaited",
        "graceful",
        "shutdown.py",
        "done = self._wait(lambda: frontend.open_connections() == 0, deadline_s)",
        "done = True",
        "testing/test_shutdown.py -k cuts_no_request",
    ),
    Mutation(
        "urllib3-resends",
        "at-most-once",
        "retries.py",
        "def may_retry(",
        "def may_retry(*arguments, **named) -> bool:\n"
        "    return True\n\n\n"
        "def _may_retry(",
        "testing/test_processes.py -k at_most_once",
    ),
    Mutation(
        "floor-ignored",
        "floor",
        "targets.py",
        "return healthy - state.is_healthy(now_s) >= self.required_healthy",
        "return True",
        "testing/test_targets.py testing/test_floor.py",
    ),
    Mutation(
        "shedding-counted-as-healthy",
        "floor",
        "targets.py",
        "self.ejected or self.target.leaving or now_s < self.shedding_until_s",
        "self.ejected or self.target.leaving",
        "testing/test_targets.py testing/test_floor.py",
    ),
    Mutation(
        "leaving-target-used",
        "leaving-target",
        "targets.py",
        "self.ejected or self.target.leaving or now_s < self.shedding_until_s",
        "self.ejected or now_s < self.shedding_until_s",
        "testing/test_targets.py testing/test_floor.py",
    ),
    Mutation(
        "raise-brings-tokens",
        "quota",
        "buckets.py",
        "state.level_units = min(state.level_units, state.unlent_capacity())",
        "state.level_units = state.unlent_capacity()",
        "testing/test_quota_proof.py -k brings_no_tokens",
    ),
    Mutation(
        "lender-refills-at-once",
        "quota",
        "buckets.py",
        "        self.lent_units += loan.units\n",
        "        self.lent_units += 0\n",
        "testing/test_quota_proof.py -k not_refilled_twice",
    ),
    Mutation(
        "resend-when-ejected",
        "at-most-once",
        "attempt_loop.py",
        "        return self.request.repeatable and attempts_left\n",
        "        return attempts_left\n",
        "testing/test_forwarder.py -k post_is_not_retried",
    ),
    Mutation(
        "begun-answer-given-up",
        "own-answer",
        "exchanges.py",
        "            self._awaiting_response = False\n",
        "",
        "testing/test_forwarder.py -k started_response",
    ),
    Mutation(
        "departed-caller-not-noticed",
        "cancelled-work",
        "exchanges.py",
        "if self.cancel_reason is None and _is_disconnected(self.caller_socket):",
        "if False:",
        "testing/test_departed_callers.py",
    ),
    Mutation(
        "slack-not-shared",
        "retry-budget",
        "mesh/retry_budgets.py",
        "return left * share + rounding_offset",
        "return left + rounding_offset",
        "testing/mesh/test_retry_budget.py -k same_remainder",
    ),
    Mutation(
        "restart-forgets-resends",
        "retry-budget",
        "mesh/retry_budgets.py",
        "return self.history is None or self.history.fleet_s() >= self.limits.window_s",
        "return True",
        "testing/mesh/test_retry_budget.py -k restarts",
    ),
    Mutation(
        "levels-not-adopted",
        "quota",
        "mesh/fleet_limits.py",
        'if adopts_levels and usage.HasField("tokens"):',
        "if False:",
        "testing/mesh/test_fleet_limits.py -k present_level",
    ),
    Mutation(
        "first-counts-not-charged",
        "quota",
        "mesh/peer_counters.py",
        "    return 0 < heartbeat.history_ms < limit_ms\n",
        "    return False\n",
        "testing/mesh/test_quota_restarts.py -k not_get_the_burst",
    ),
    Mutation(
        "reports-refill-by-the-whole-rate",
        "quota",
        "mesh/fleet_limits.py",
        "bucket.refill(now_s, self._grantable_fraction())",
        "bucket.refill(now_s, 1.0)",
        "testing/mesh/test_quota_cuts.py -k both_sides",
    ),
    Mutation(
        "burst-not-divided",
        "quota",
        "mesh/fleet_bucket.py",
        "return self.level - self.reserved",
        "return self.level",
        "testing/mesh/test_quota_cuts.py -k isolate",
    ),
    Mutation(
        "withheld-tokens-charged",
        "quota",
        "mesh/fleet_bucket.py",
        "granted = min(tokens, self.withheld)",
        "granted = 0.0",
        "testing/mesh/test_quota_cuts.py -k healed",
    ),
    Mutation(
        "counts-end-with-the-limit",
        "quota",
        "mesh/fleet_limits.py",
        "            self.buckets = {}\n",
        "            self.buckets = {}\n            self.own_counts.clear()\n",
        "testing/mesh/test_limits_left_out.py -k stated_again",
    ),
    Mutation(
        "cut-watch-is-an-outage",
        "leaving-target",
        "mesh/store_contact.py",
        "return self.timers.now() - self.last_answer_at_s >= self.min_outage_s",
        "return True",
        "testing/adapter/test_cut_watches.py",
    ),
    Mutation(
        "lost-watch-response-noticed-late",
        "version-reaches-all",
        "mesh/watch_timeouts.py",
        "return min(max(wait_s, MIN_WATCH_WAIT_S), MAX_WATCH_WAIT_S)",
        "return MAX_WATCH_WAIT_S",
        "testing/adapter/test_lost_watch_responses.py",
    ),
    Mutation(
        "use-beyond-lease-not-reported",
        "limits",
        "mesh/report_lease.py",
        "        if unreported <= lease:\n",
        "        if True:\n",
        "testing/mesh/test_surge_in_quiet_fleet.py",
    ),
    Mutation(
        "reset-seen-by-a-write-forgotten",
        "response-whole",
        "attempt_loop.py",
        "            connection.was_reset = True\n",
        "",
        "testing/test_reset_responses.py -k upload",
    ),
    Mutation(
        "reset-seen-ahead-of-the-caller-forgotten",
        "response-whole",
        "forwarded_response.py",
        "            self._raw.was_reset = True\n",
        "",
        "testing/test_reset_responses.py -k slow_caller",
    ),
    Mutation(
        "set-back-clock-ignored",
        "leaving-target",
        "mesh/registry.py",
        "        return target.sequence > first.sequence\n",
        "        return False\n",
        "testing/mesh/test_registry.py -k set_back",
    ),
    Mutation(
        "older-listing-removes",
        "all-targets-known",
        "mesh/registry.py",
        "                if self.known_as_of[name] <= position:\n"
        "                    self._remove_or_mark_missing(name)\n",
        "                self._remove_or_mark_missing(name)\n",
        "testing/mesh/test_registry.py -k older_listing",
    ),
    Mutation(
        "removal-after-restart",
        "leaving-target",
        "mesh/observers.py",
        "if target is None]",
        "if target is None or any(c.value is None for c in result.changes)]",
        "testing/adapter/test_restarted_targets.py",
    ),
    Mutation(
        "stated-rate-ignored",
        "target-rate",
        "mesh/target_table.py",
        "            if not self._within_rate_limit(state, now_s):\n",
        "            if False:\n",
        "testing/mesh/test_rate_limited_targets.py -k no_more_than",
    ),
    Mutation(
        "stated-rate-not-divided",
        "target-rate",
        "mesh/rate_shares.py",
        "        if self.own_name not in rank_candidates(target, names)[:count]:\n",
        "        if False:\n",
        "testing/mesh/test_rate_shares.py",
    ),
    Mutation(
        "fetch-given-up-early",
        "version-reaches-all",
        "mesh/snapshots.py",
        "FETCH_TIMEOUT_S = 4.0\n",
        "FETCH_TIMEOUT_S = 1.0\n",
        "testing/mesh/test_fleet_traffic.py -k whose_link_is_full",
    ),
    Mutation(
        "fetch-without-company",
        "version-reaches-all",
        "mesh/fetch_slots.py",
        "self.in_progress and (young or self.in_progress >= MAX_FETCHES)",
        "self.in_progress",
        "testing/mesh/test_fetch_slots.py",
    ),
    Mutation(
        "body-without-deadline",
        "timeout-of-route",
        "request_handler.py",
        "deadline_covers_body=route.timeout_covers_body",
        "deadline_covers_body=False",
        "testing/test_endless_responses.py -k does_not_end",
    ),
    Mutation(
        "responses-not-paced",
        "link-shared",
        "forwarder.py",
        "        if wait_s > 0:\n            time.sleep(wait_s)\n",
        "",
        "testing/test_response_pacing.py",
    ),
    Mutation(
        "era-not-compared-by-watch",
        "restored-store",
        "mesh/observers.py",
        "            if result.era != listing.era:\n",
        "            if False:\n",
        "testing/adapter/test_restored_store.py -k watch_misses",
    ),
    Mutation(
        "era-not-compared-between-instances",
        "restored-store",
        "mesh/registry.py",
        "        return self.era, self.revision\n",
        "        return 0, self.revision\n",
        "testing/mesh/test_snapshot_fetch_policy.py testing/mesh/test_fleet_traffic.py"
        " -k restore",
    ),
    Mutation(
        "lease-of-earlier-era-kept",
        "restored-store",
        "mesh/observers.py",
        "            self.lease = None\n            self.lease_era = era\n",
        "            self.lease_era = era\n",
        "testing/adapter/test_restored_store.py -k announces",
    ),
    Mutation(
        "unnamed-refusal-believed",
        "not-run-is-true",
        "attempt_loop.py",
        "(wrong_target or marked_not_run) and self._may_be_earlier(response)",
        "False",
        "testing/test_repeated_refusals.py",
    ),
    Mutation(
        "stated-leaving-not-spread",
        "target-statements",
        "mesh/registry.py",
        "            self.targets[name] = evolve(known, leaving=True)\n",
        "            pass\n",
        "testing/mesh/test_stated_by_targets.py",
    ),
    Mutation(
        "pause-of-target-ignored",
        "target-statements",
        "mesh/target_table.py",
        "            if now_s < state.paused_until_s:\n",
        "            if False:\n",
        "testing/mesh/test_stated_by_targets.py",
    ),
    Mutation(
        "late-request-taken-in-stop",
        "graceful",
        "shutdown.py",
        "return left_s >= min(duration_s, MIN_FRACTION_LEFT * self.stop_bound_s)",
        "return True",
        "testing/test_shutdown.py -k late_in_a_stop",
    ),
    Mutation(
        "lost-observers-missed-late",
        "configuration",
        "mesh/observer_election.py",
        "OBSERVER_TIMEOUT_S = 0.9",
        "OBSERVER_TIMEOUT_S = 2.5",
        "testing/mesh/test_observers.py",
    ),
    Mutation(
        "observer-kept-until-its-end",
        "configuration",
        "mesh/observer_election.py",
        "leaving[member.name] = member.heartbeat.state == beats_pb2.DRAINING",
        "leaving[member.name] = False",
        "testing/mesh/test_observers.py",
    ),
    Mutation(
        "late-failure-is-an-outage",
        "draining targets",
        "mesh/observers.py",
        "if self.contact.last_answer_at_s <= sent_at_s:",
        "if True:",
        "testing/mesh/test_observers.py",
    ),
    Mutation(
        "reported-target-kept-after-outage",
        "draining targets",
        "mesh/registry.py",
        'return self.reported_at_s.get(name, float("-inf")) > self.last_outage_at_s',
        "return False",
        "testing/mesh/test_registry.py",
    ),
    Mutation(
        "object-for-each-chunk",
        "memory",
        "forwarded_response.py",
        "self._preloaded = itertools.chain(iter_blocks(held), source)",
        "self._preloaded = itertools.chain([bytes([b]) * 9 for b in held], source)",
        "testing/test_endless_responses.py -k small_chunks",
    ),
    Mutation(
        "response-held-back-in-stop",
        "graceful",
        "forwarded_response.py",
        "if len(held) > MAX_PRELOAD_BYTES or self._call.in_haste():",
        "if len(held) > MAX_PRELOAD_BYTES:",
        "testing/test_downloads_in_a_stop.py",
    ),
    Mutation(
        "response-paced-in-stop",
        "graceful",
        "attempt_calls.py",
        "if not self.in_haste():",
        "if True:",
        "testing/test_downloads_in_a_stop.py",
    ),
    Mutation(
        "pipelined-time-from-turn",
        "pipelined requests",
        "request_handler.py",
        "deadline_s = self.stream.arrived_s + self._timeout_s(access)",
        "deadline_s = started_s + self._timeout_s(access)",
        "testing/test_pipelining.py",
    ),
    Mutation(
        "all-targets-compared",
        "choice of a target",
        "mesh/target_choice.py",
        "        sampled = self._sample_groups(candidates)\n",
        "        sampled = candidates\n",
        "testing/mesh/test_target_table.py -k old_loads",
    ),
    Mutation(
        "abandoned-without-retry",
        "retry budget",
        "attempt_loop.py",
        "            if self.retry_reserved or self.budget.try_acquire():\n",
        "            if True:\n",
        "testing/test_forwarder.py -k without_retry_budget",
    ),
    Mutation(
        "heartbeats-to-all",
        "bounded traffic",
        "mesh/heartbeat_rounds.py",
        "        if to_all or len(addresses) <= MAX_PERIODIC_RECIPIENTS:\n",
        "        if True:\n",
        "testing/mesh/test_heartbeat_rounds.py",
    ),
)


def copy_tree(folder: pathlib.Path) -> None:
    """Copy what tests need."""
    for part in PARTS:
        source = ROOT / part
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(source, folder / part, ignore=ignore)
        else:
            shutil.copy(source, folder / part)


def run_tests(folder: pathlib.Path, tests: str) -> tuple[int, str]:
    """Return pytest's exit code, and the first failure or the end of the output."""
    command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider"]
    done = subprocess.run(
        [*command, *_arguments(tests)],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    lines = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
    return done.returncode, lines[0] if lines else done.stdout[-200:].strip()


def _arguments(tests: str) -> list[str]:
    path, _, keyword = tests.partition(" -k ")
    files = path.split()
    return [*files, "-k", keyword] if keyword else files


def check(mutation: Mutation) -> bool:
    """Apply one mutation; return whether tests noticed it."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_tree(folder)
        file = folder / "src" / "lacewinglift" / mutation.file
        text = file.read_text()
        if mutation.old not in text:
            print(f"{mutation.name}: the code to change is not in {mutation.file}")
            return False
        file.write_text(text.replace(mutation.old, mutation.new))
        started_s = time.monotonic()
        exit_code, summary = run_tests(folder, mutation.tests)
    seconds = time.monotonic() - started_s
    verdict = _VERDICTS.get(exit_code, "NO TEST RAN")
    print(f"{mutation.name} [{mutation.rule}] {verdict} in {seconds:.0f} s: {summary}")
    return exit_code == TESTS_FAILED


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="mutations; all without any")
    options = parser.parse_args()
    chosen = [m for m in MUTATIONS if not options.names or m.name in options.names]
    noticed = [check(mutation) for mutation in chosen]
    print(f"{sum(noticed)} of {len(noticed)} mutations were noticed")
    return 0 if all(noticed) else 1


if __name__ == "__main__":
    sys.exit(main())
