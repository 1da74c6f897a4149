"""Odd entries in the list of targets: nested, with wrong numbers or ports, or incomplete.

Each is an entry of another writer, whole and sound but for what its name says.
"""

import json

__all__ = ["FORMS", "ODD_ENTRIES", "UNUSED_ADDRESS", "sound_entry"]

# Nothing listens here, so that a connection to it would fail and be seen in the log.
UNUSED_ADDRESS = "127.0.0.1:1"
DEPTH = 30_000
SERVICES = ("app", "llm")
# All fields that each target writes, by the operators' page and the bench.
REQUIRED_FIELDS = (
    "svc",
    "address",
    "state",
    "zone",
    "version",
    "batchSlots",
    "coldLeftMs",
    "callSeq",
    "born",
)

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
    """Return an entry with all fields that a target of a service writes."""
    entry: dict[str, object] = {"svc": service, "address": UNUSED_ADDRESS, "zone": "a"}
    entry |= {"version": "s1", "batchSlots": 8, "state": "ready", "callSeq": 1}
    entry |= {"coldLeftMs": 0, "born": 1767395362232}
    if service == "llm":
        entry |= {"phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
    return entry | fields


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


def foreign_entries(entry: dict[str, object]) -> dict[str, bytes]:
    """Return entries in which a field that each target writes is missing or has another type."""
    found = {}
    for name in REQUIRED_FIELDS:
        rest = {key: value for key, value in entry.items() if key != name}
        found[f"no {name}"] = json.dumps(rest).encode()
    for name in REQUIRED_FIELDS:
        is_text = isinstance(entry[name], str)
        for text in ("null", "true", "[]", "{}", "7" if is_text else '"7"'):
            found[f"{name} {text}"] = with_field(entry, name, text)
    for text in ("null", "true", "{}", '[{"name":"m"}]', '[{"version":1}]', '["m"]'):
        # An entry of a plain service has none.
        if text != "null" or "models" in entry:
            found[f"models {text}"] = with_field(entry, "models", text)
    return found


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
    "foreign": odd_entries(foreign_entries),
}
FORMS = tuple(ODD_ENTRIES)
