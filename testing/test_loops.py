"""Event loops in separate threads."""

import asyncio

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


def test_tasks_left_over_end_before_their_loop_closes():
    """Guards against "Event loop is closed", raised where a late task is collected.

    A server that stops does not wait for the handler of a stream that it accepted
    meanwhile.
    """
    ended = []

    async def handle_late_stream():
        try:
            await asyncio.Event().wait()
        finally:
            ended.append("handler")

    async def main():
        runner.started.set()
        await runner.stopping.wait()
        runner.late = asyncio.create_task(handle_late_stream())
        await asyncio.sleep(0)

    runner = LoopRunner("test", main)
    runner.start()
    runner.stop()
    assert ended == ["handler"]
    assert runner.late.cancelled()
