"""Teams in the configuration, the lookup of keys, and what a VM concludes from them."""

import json

import pytest

from balsamcleat.decisions.readiness import StoreView
from balsamcleat.decisions.team_access import (
    Access,
    KeyRefusal,
    StepSubmitter,
    StepTeam,
    decide_access,
    is_configuration_current,
    route_for_team,
    team_of_step,
)
from balsamcleat.errors import ProtocolError
from balsamcleat.model import KeyDigest
from balsamcleat.model.routing import Route, RoutingTable
from balsamcleat.model.team_keys import KeyIndex, bearer_key_digest, key_digest, loggable_digest
from balsamcleat.platform import decode_routing
from balsamcleat.ports.rows import RowChange, RowKey
from balsamcleat.tasks.routing_keeper import RoutingKeeper

KEYS = ("rjvz48wuakn2ftimaj3n", "r26tta828m82thhkmgjq")
DOCUMENT = {
    "version": 3,
    "routes": [
        {"host": "h.example", "prefix": "/open/", "svc": "s", "public": True, "prio": 4},
        {"host": "h.example", "prefix": "/", "svc": "s", "prio": 4},
    ],
    "services": [],
    "tenants": [
        {"name": "huka270", "apiKeys": list(KEYS), "prio": 1},
        {"name": "puhu251", "apiKeys": ["p1"]},
    ],
}
APPLY_S = 3.0


def table(**changes) -> RoutingTable:
    return decode_routing(json.dumps({**DOCUMENT, **changes}).encode())


def route(path: str = "/x", routing: RoutingTable | None = None) -> Route:
    found = (routing or table()).match("h.example", path)
    assert found is not None
    return found


def test_teams_are_decoded_with_the_digests_of_their_keys() -> None:
    """A key that is kept itself could appear in a log line or in a dump of the process."""
    routing = table()
    for key in KEYS:
        team = routing.team_of(key_digest(key))
        assert team is not None and (team.name, team.rank) == ("huka270", 1)
        assert key not in repr(routing)
    other = routing.team_of(key_digest("p1"))
    assert other is not None and (other.name, other.rank) == ("puhu251", None)
    assert routing.team_of(key_digest("huka270")) is None
    assert routing.team_of(None) is None
    assert (route("/open/x").public, route("/x").public) == (True, False)


@pytest.mark.parametrize("tenants", [{}, {"tenants": []}, {"tenants": None}])
def test_configuration_without_teams_needs_no_key(tenants: dict) -> None:
    """Documents of before, and those of a deployment without teams, must not refuse all callers."""
    document = {key: value for key, value in DOCUMENT.items() if key != "tenants"}
    routing = decode_routing(json.dumps({**document, **tenants}).encode())
    assert not routing.has_teams
    access = decide_access(routing, key_digest("any"), is_public=False, is_current=True)
    assert access == Access()


def test_error_about_a_configuration_does_not_quote_its_keys() -> None:
    """The reason of a refused document is logged."""
    document = json.dumps({**DOCUMENT, "limits": 7})
    with pytest.raises(ProtocolError) as caught:
        decode_routing(document.encode())
    broken = document.replace('"name": "huka270"', '"name": 7')
    with pytest.raises(ProtocolError) as other:
        decode_routing(broken.encode())
    for key in KEYS:
        assert key not in str(caught.value) + str(other.value)


@pytest.mark.parametrize(
    ("authorization", "key"),
    [
        ("Bearer k", "k"),
        ("bearer  k ", "k"),
        ("Bearer", None),
        ("Bearer ", None),
        ("Basic k", None),
        ("k", None),
        ("", None),
        (None, None),
    ],
)
def test_key_is_taken_from_a_bearer_header_only(authorization: str | None, key: str | None) -> None:
    """An empty key or that of another scheme must not match a team."""
    expected = None if key is None else key_digest(key)
    assert bearer_key_digest(authorization) == expected


def test_digest_is_found_in_either_case_and_logged_in_part() -> None:
    """A digest is configured in either case; a whole one in a log line could be searched for."""
    index = KeyIndex([("team", [key_digest("k").upper()])])
    assert index.find(key_digest("k")) == "team"
    assert index.find(KeyDigest("")) is None
    assert loggable_digest(key_digest("k")) == key_digest("k")[:8]
    assert loggable_digest(None) == ""


def test_request_is_refused_without_the_key_of_a_team() -> None:
    """Only a VM whose configuration is current knows that a key is invalid."""
    routing = table()

    def refusal(key: str | None, *, is_current: bool, is_public: bool = False) -> KeyRefusal | None:
        digest = None if key is None else key_digest(key)
        return decide_access(routing, digest, is_public=is_public, is_current=is_current).refusal

    for is_current in (True, False):
        assert refusal(KEYS[0], is_current=is_current) is None
        assert refusal(None, is_current=is_current) is KeyRefusal.MISSING
        assert refusal("other", is_current=is_current, is_public=True) is None
    assert refusal("other", is_current=True) is KeyRefusal.UNKNOWN
    assert refusal("other", is_current=False) is KeyRefusal.UNCERTAIN


def test_request_on_a_public_route_has_no_team() -> None:
    """Its target would take it for a request of the team, though nobody had to prove that."""
    access = decide_access(table(), key_digest(KEYS[0]), is_public=True, is_current=True)
    assert access.team is None


def test_rank_of_a_team_replaces_that_of_the_route() -> None:
    """The queue and the priority header both take the rank from the route of the call."""
    routing = table()
    plain = route("/x", routing)
    assert route_for_team(plain, routing.team_of(key_digest(KEYS[0]))).rank == 1
    assert route_for_team(plain, routing.team_of(key_digest("p1"))) is plain
    assert route_for_team(plain, None) is plain
    zero = table(tenants=[{"name": "t", "apiKeys": ["z"], "prio": 0}])
    assert route_for_team(plain, zero.team_of(key_digest("z"))).rank == 0


def test_configuration_is_current_while_a_read_confirmed_it_and_the_store_answers() -> None:
    """A VM that was cut off must not call a key invalid that was added meanwhile."""
    answering, silent = StoreView(0.2), StoreView(1.5)
    assert is_configuration_current(2.5, answering, APPLY_S)
    assert not is_configuration_current(3.5, answering, APPLY_S)
    assert not is_configuration_current(0.5, silent, APPLY_S)
    assert not is_configuration_current(float("inf"), answering, APPLY_S)


def test_keeper_confirms_only_configurations_that_it_can_read() -> None:
    """A document that this build can't decode may contain new keys."""
    now_s = [100.0]
    keeper = RoutingKeeper(lambda: None, lambda: now_s[0])
    assert keeper.confirmed_age_s() == float("inf")

    def write(document: str, version: int) -> None:
        row = RowChange(RowKey("op", "", "config"), document.encode(), version)
        keeper.on_changes((row,), version)
        keeper.record_read()

    write(json.dumps(DOCUMENT), 1)
    now_s[0] += 2.0
    assert keeper.confirmed_age_s() == 2.0
    write(json.dumps({**DOCUMENT, "version": 4, "tenants": "none"}), 2)
    assert keeper.table is not None and keeper.table.version == 3
    assert keeper.confirmed_age_s() == float("inf")
    write(json.dumps({**DOCUMENT, "version": 5}), 3)
    assert (keeper.table.version, keeper.confirmed_age_s()) == (5, 0.0)


def test_removed_key_is_unknown_and_an_older_version_does_not_bring_it_back() -> None:
    """A VM that reads an old row again, for example from a peer, must not accept an old key."""
    keeper = RoutingKeeper(lambda: None, lambda: 0.0)
    newer = {**DOCUMENT, "version": 4, "tenants": [{"name": "huka270", "apiKeys": [KEYS[1]]}]}
    for version, document in ((1, DOCUMENT), (2, newer), (3, DOCUMENT)):
        row = RowChange(RowKey("op", "", "config"), json.dumps(document).encode(), version)
        keeper.on_changes((row,), version)
    assert keeper.table is not None
    assert keeper.table.team_of(key_digest(KEYS[0])) is None
    assert keeper.table.team_of(key_digest(KEYS[1])) is not None


def test_team_of_a_step_is_that_of_its_submission() -> None:
    """A step outlives its key, and one that an older build stored has only the key."""
    routing, digest = table(), key_digest(KEYS[0])
    removed = table(tenants=[{"name": "puhu251", "apiKeys": ["p1"]}])
    without_teams = table(tenants=[])
    named = StepSubmitter("huka270")
    assert team_of_step(named, route(), removed) == StepTeam("huka270")
    with_key = StepSubmitter(key_digest=digest)
    assert team_of_step(with_key, route(), routing) == StepTeam("huka270")
    assert team_of_step(with_key, route(), removed) == StepTeam(None, is_certain=False)
    assert team_of_step(with_key, None, removed) == StepTeam(None, is_certain=False)
    assert team_of_step(with_key, route(), without_teams) == StepTeam(None)
    assert team_of_step(with_key, route("/open/x"), removed) == StepTeam(None)
    assert team_of_step(StepSubmitter(), route(), routing) == StepTeam(None)
