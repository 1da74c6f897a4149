"""The life of one request out of the logs of several VMs."""

import json
from pathlib import Path

from balsamcleat.explaining import explain, read_lines

STEP = {"event": "step accepted", "level": "info"}
LOST = {"event": "store lost", "level": "warning", "table": "op"}
# Time before the line, time of day on the VM, VM, line.
LINES = [
    (1.0, 100.5, "vm-a", {**STEP, "step": "s1"}),
    (1.2, 99.0, "vm-b", LOST),
    (1.5, 101.0, "vm-a", LOST),
    (2.0, 101.5, "vm-a", {**STEP, "step": "s2"}),
    (3.0, 90.0, "vm-c", {"event": "step taken over", "step": "s1", "before": "vm-a"}),
]
LOGS = "nonsense\n" + "".join(
    f"{at_s:8.3f} {vm} {json.dumps({'at_s': day_s, 'vm': vm, **line}, separators=(',', ':'))}\n"
    for at_s, day_s, vm, line in LINES
)


def test_lines_about_an_id_come_in_order_with_what_its_vms_believed(tmp_path: Path) -> None:
    path = tmp_path / "log"
    path.write_text(LOGS)
    found = explain("s1", read_lines([path]))
    assert [(line.vm, line.event) for line in found] == [
        ("vm-a", "step accepted"),
        ("vm-a", "store lost"),
        ("vm-c", "step taken over"),
    ]
    assert "before=vm-a" in found[-1].text(found[0].at_s)


def test_an_id_that_no_line_names_has_no_story(tmp_path: Path) -> None:
    path = tmp_path / "log"
    path.write_text(LOGS)
    assert explain("s9", read_lines([path])) == []
