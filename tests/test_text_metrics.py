"""Metrics as text: counters, gauges and latencies in seconds, with a bounded number of names."""

from balsamcleat.adapters.text_metrics import MAX_NAMES, TextMetrics


def test_names_and_units_follow_the_text_format() -> None:
    metrics = TextMetrics()
    metrics.count("events.step accepted", 2)
    metrics.gauge("steps.owned", 3)
    for _ in range(99):
        metrics.timing("took.request answered", 10.0)
    metrics.timing("took.request answered", 2000.0)
    text = metrics.render().decode()
    assert "balsamcleat_events_step_accepted_total 2" in text
    assert "balsamcleat_steps_owned 3" in text
    assert 'balsamcleat_took_request_answered_seconds{quantile="0.5"} 0.01' in text
    assert "balsamcleat_took_request_answered_seconds_count 100" in text


def test_number_of_names_is_bounded() -> None:
    metrics = TextMetrics()
    for number in range(MAX_NAMES + 50):
        metrics.count(f"name.{number}")
        metrics.gauge(f"name.{number}", 1.0)
    assert metrics.counters["other"] == 50
    assert len(metrics.gauges) == MAX_NAMES
