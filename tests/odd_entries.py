"""Odd entries in the list of targets: deeply nested, with a number too large, or a wrong port.

Each is an entry of another writer, whole and sound but for what its name says.
"""

import json

__all__ = ["FORMS", "ODD_ENTRIES", "UNUSED_ADDRESS", "sound_entry"]

# Nothing listens here, so that a connection to it would fail and be seen in the log.
UNUSED_ADDRESS = "127.0.0.1:1"
DEPTH = 30_000
SERVICES = ("app", "llm")

NUMBERS = {
    "400 digits": "9" * 400,
    "-400 digits": "-" + "9" * 400,
    "5000 digits": "9" * 5000,
    "2**64": str(2**64),
    "2**70": str(2**70),
    "-2**70": str(-(2**70)),
    "1e999": "1e999",
    "-1e999": "-1e999",
    "1e400000000": "1e400000000",
    "NaN": "NaN",
    "Infinity": "Infinity",
    "-Infinity": "-Infinity",
}
PORTS = (
    "99999",
    "65536",
    "0",
    "-1",
    "+80",
    "8_0",
    "80 ",
    "1e4",
    "",
    str(2**32 + 9000),
    "9" * 400,
    "8" * 5000,
    "\u0664\u0662",
    "\u00b2",
)


def sound_entry(service: str, **fields: object) -> dict[str, object]:
    entry: dict[str, object] = {"svc": service, "address": UNUSED_ADDRESS, "zone": "a"}
    models = [{"name": "m", "version": 1}] if service == "llm" else []
    return entry | {"version": "s1", "state": "ready", "batchSlots": 8, "models": models} | fields


def with_field(entry: dict[str, object], name: str, text: str) -> bytes:
    """Return an entry with one more field, or one replaced, whose value is given as JSON."""
    rest = json.dumps({key: value for key, value in entry.items() if key != name})
    return f'{rest[:-1]},"{name}":{text}}}'.encode()


def nested_entries(entry: dict[str, object]) -> dict[str, bytes]:
    opened, closed = "[" * DEPTH, "[" * DEPTH + "]" * DEPTH
    found = {
        "unknown field, cut": with_field(entry, "tags", opened)[:-1],
        "unknown field": with_field(entry, "tags", closed),
        "objects, cut": b'{"a":' * (DEPTH // 3),
        "objects": b'{"a":' * (DEPTH // 3) + b"1" + b"}" * (DEPTH // 3),
        "nothing else": closed.encode(),
        "first field, cut": b'{"svc":' + opened.encode(),
    }
    for name in ("svc", "address", "models", "born", "spot", "draining", "leaves_ms"):
        found[name] = with_field(entry, name, closed)
    return found


def numbered_entries(entry: dict[str, object]) -> dict[str, bytes]:
    found = {}
    for name, number in NUMBERS.items():
        for field in ("batchSlots", "born", "coldLeftMs", "callSeq"):
            found[f"{field} {name}"] = with_field(entry, field, number)
        model = f'[{{"name":"m","version":{number}}}]'
        found[f"models {name}"] = with_field(entry, "models", model)
    return found


def misdirected_entries(entry: dict[str, object]) -> dict[str, bytes]:
    """Return entries with a port out of range."""
    found = {
        f"port {port[:20]!r}": with_field(entry, "address", json.dumps(f"127.0.0.1:{port}"))
        for port in PORTS
    }
    return found | {"port as number": with_field(entry, "address", "99999")}


def odd_entries(make) -> dict[str, bytes]:
    """Return what a function makes of a sound entry of each service."""
    return {
        f"{service} {name}": value
        for service in SERVICES
        for name, value in make(sound_entry(service)).items()
    }


ODD_ENTRIES = {
    "nested": odd_entries(nested_entries),
    "number": odd_entries(numbered_entries),
    "port": odd_entries(misdirected_entries),
}
FORMS = tuple(ODD_ENTRIES)
