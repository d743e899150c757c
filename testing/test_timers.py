from lacewinglift.timers import ManualTimers


def test_manual_timers_run_callbacks_in_order_of_time():
    """Guards against a test clock that runs a later callback first."""
    timers = ManualTimers()
    seen = []
    timers.call_later(2.0, lambda: seen.append("late"))
    timers.call_later(1.0, lambda: seen.append("early"))
    timers.advance(3.0)
    assert seen == ["early", "late"]


def test_cancelled_subscription_does_not_run():
    """Guards against callbacks to a component that has stopped."""
    timers = ManualTimers()
    seen = []
    subscription = timers.subscribe(1.0, lambda: seen.append(1))
    timers.advance(2.5)
    subscription.cancel()
    timers.advance(5.0)
    assert seen == [1, 1]
