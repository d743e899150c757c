"""Event loops in separate threads."""

import pytest

from lacewinglift.loops import LoopRunner


def test_loop_runs_until_it_is_stopped():
    """Guards against a component used before it listens or after it has ended."""
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


def test_failure_to_listen_is_raised_by_start():
    """Guards against a start that blocks forever, or a silent failure to listen."""

    async def main():
        raise RuntimeError("cannot listen")

    with pytest.raises(RuntimeError, match="cannot listen"):
        LoopRunner("test", main).start()
