import orjson

from heatherspur.ops.explain import explain

ID = "9c41d07be2a35f68"


def _line(time: str, message: str, **fields) -> str:
    line = {"time": time, "node_id": "n", "message": message, "request_id": ID}
    return "  1.2 host " + orjson.dumps({**line, **fields}).decode()


def test_lines_of_all_nodes_are_sorted_by_time_and_the_cause_is_determined():
    lines = [
        _line("2", "exit: failed", reason="target-lost"),
        _line("3", "entry: outcome unknown", reason="target-lost"),
        _line("1", "entry: sent to target", reason="slot-granted"),
        _line("2", "entry: answered", reason="whole").replace(ID, "other"),
        f"{ID} is no JSON",
    ]
    found = explain(ID, lines).ok_value
    assert [step.time for step in found.steps] == ["1", "2", "3"]
    assert found.outcome == "outcome unknown"
    assert found.cause.startswith("the target closed or reset")


def test_unknown_request_id_is_reported():
    assert "no log line has this id" in explain(ID, []).err_value.reason
