"""Threads that run calls between instances."""

import pytest

from lacewinglift.loops import LoopRunner


def test_loop_runs_until_it_is_stopped():
    """Guards against a part that is used before it listens or after it has ended."""
    steps = []

    async def main():
        steps.append("listens")
        runner.started.set()
        await runner.stopping.wait()
        steps.append("ended")

    runner = LoopRunner("test", main)
    runner.start()
    assert steps == ["listens"]
    runner.stop()
    assert steps == ["listens", "ended"]
    runner.stop()


def test_failure_to_listen_is_raised_by_the_start():
    """Guards against a start that waits for ever, or a process without peers."""

    async def main():
        raise RuntimeError("cannot listen")

    with pytest.raises(RuntimeError, match="cannot listen"):
        LoopRunner("test", main).start()
