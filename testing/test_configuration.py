import attrs

from lacewinglift.configuration import (
    Configuration,
    Fleet,
    Route,
    Workspace,
    digest_key,
)


def make_configuration(*prefixes):
    routes = tuple(Route(prefix=prefix, service="s") for prefix in prefixes)
    return Configuration(1, Fleet(name="f"), {}, routes, {})


def test_longest_prefix_wins():
    """Guards against routing a request by a shorter prefix than the longest match."""
    configuration = make_configuration("/a", "/a/b")
    assert configuration.route_for("/a/b/c?x=1").prefix == "/a/b"
    assert configuration.route_for("/a/bc").prefix == "/a"


def test_path_without_route_has_none():
    """Guards against a default route that no operator configured."""
    assert make_configuration("/a").route_for("/ab") is None


def test_evolved_copy_builds_its_own_indexes():
    """Guards against a withdrawn key that still works in a changed copy."""
    workspace = Workspace("w", 1.0, 1, (digest_key("k"),))
    before = attrs.evolve(make_configuration(), workspaces={"w": workspace})
    after = attrs.evolve(before, workspaces={"w": Workspace("w", 1.0, 1)})
    assert before.workspace_for_digest(digest_key("k")) == workspace
    assert after.workspace_for_digest(digest_key("k")) is None
