"""Settings files with odd values: each is read, or refused with the one error for such files."""

import contextlib
import json
import random
from pathlib import Path

from balsamcleat.errors import InvalidInputError
from balsamcleat.platform import PlatformSettings, load_platform_settings
from test_odd_rows import ODD_VALUES, places, with_odd_value, with_value

SEED = 7
FILES = 500
DOCUMENT = {
    "node": "vm0",
    "ip": "127.0.0.1",
    "zone": "a",
    "zones": {"a": "r"},
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "portRange": [3, 4],
    "platform": {
        "address": "127.0.0.1:5",
        "rowBytes": 65536,
        "historyS": 20.0,
        "writesPerS": 1.0,
        "readsPerS": 1.0,
    },
    "bounds": {
        "graceS": 8.0,
        "leaseMs": 3000.0,
        "statusS": 120.0,
        "applyMs": 3000.0,
        "reportWindowS": 5.0,
        "usageLateS": 10.0,
    },
    "cloudApi": {"address": "127.0.0.1:6", "duties": ["usage"], "dutyPerS": 1.0},
    "limits": {"ramMb": 512.0},
}


def test_odd_settings_raise_one_error(tmp_path: Path) -> None:
    """A size of 1e308 MB raised OverflowError, which names no file."""
    path = tmp_path / "settings.json"
    rng = random.Random(SEED)
    path.write_text(json.dumps(DOCUMENT))
    assert isinstance(load_platform_settings(path), PlatformSettings)
    files = [
        with_value(DOCUMENT, place, value)
        for place in list(places(DOCUMENT))[1:]
        for value in ODD_VALUES
    ]
    for data in (*files, *(with_odd_value(DOCUMENT, rng) for _ in range(FILES))):
        path.write_bytes(data)
        with contextlib.suppress(InvalidInputError):
            load_platform_settings(path)
