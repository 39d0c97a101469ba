"""A configuration is checked before it is sent."""

import json

import pytest

from dogwoodhook.platform.check import EXIT_ERRORS, main
from tests.platform_adapter.conftest import make_configuration, make_route

WORKSPACES = {"ukara": {"apiKeys": ["k-1", "k-2"], "ratePerS": 5, "burst": 5}}


@pytest.fixture
def check(tmp_path, capsys):
    def write(name, configuration):
        path = tmp_path / name
        text = configuration
        if not isinstance(text, str):
            text = json.dumps(configuration)
        path.write_text(text)
        return str(path)

    def run(new, *, in_force=None):
        arguments = [write("new.json", new)]
        if in_force is not None:
            arguments.append(f"--in_force={write('old.json', in_force)}")
        status = main(arguments)
        return status, capsys.readouterr().out.splitlines()

    return run


def changed(**fields):
    return {**make_configuration(2), **fields}


def test_a_sound_configuration_has_no_findings(check):
    assert check(make_configuration()) == (0, [])


@pytest.mark.parametrize(
    ("route", "line"),
    [
        (
            {"prefix": "/read/"},
            "error: routes.new: the route read has the same host and prefix",
        ),
        (
            {"hostname": "a host"},
            "never matches: routes.new: 'a host' is no host that a request can name",
        ),
        (
            {"hostname": "tills.example:80"},
            "never matches: routes.new: 'tills.example:80' is no host that a request"
            " can name",
        ),
        (
            {"prefix": "/a b/"},
            "never matches: routes.new: the prefix has a character that callers encode",
        ),
        (
            {"targetLatency": "4000ms"},
            "contradiction: routes.new: the target latency of 4 s is longer than the"
            " timeout of 3 s",
        ),
        (
            {"timeout": "0ms"},
            "error: routes.new: the timeout is 0: every request fails",
        ),
        ({"backend": "gone"}, "error: routes.new: the service 'gone' is not listed"),
        (
            {
                "weightedBackends": [
                    {"backend": "payouts", "weight": 0},
                    {"backend": "payouts", "weight": 1},
                ]
            },
            "never matches: routes.new: the service payouts has the weight 0",
        ),
    ],
)
def test_a_problem_of_a_route_is_named_with_its_place(check, route, line):
    new = make_route("/new/", **{key: route[key] for key in route if key != "prefix"})
    new["prefix"] = route.get("prefix", "/new/")
    status, lines = check(make_configuration(2, new=new))
    assert lines == [line]
    assert status == (EXIT_ERRORS if line.startswith("error") else 0)


@pytest.mark.parametrize(
    ("tenants", "lines"),
    [
        ({"ukara": {"apiKeys": []}}, {"workspaces.ukara: it has no key"}),
        (
            {"ukara": {"apiKeys": ["k"], "burst": 5}},
            {"workspaces.ukara: a burst without a rate has no effect"},
        ),
        (
            {"ukara": {"apiKeys": ["k"], "ratePerS": 0.5}},
            {"workspaces.ukara: its quota is less than one request"},
        ),
    ],
)
def test_a_problem_of_a_workspace_is_named_with_its_place(check, tenants, lines):
    other = {"ziwa": {"apiKeys": ["k-9"]}}
    _, found = check(changed(tenants={**tenants, **other}))
    assert {line.partition(": ")[2] for line in found} == lines


def test_routes_that_need_a_key_are_named_if_there_is_none(check):
    _, found = check(changed(tenants={}))
    assert found == [
        f"never matches: routes.{name}: it needs a key, and there is none"
        for name in ("read", "post")
    ]


@pytest.mark.parametrize(
    "text", ["{", '{"configVersion": 1, "configVersion": 2}', "[]", '{"routes": 7}']
)
def test_text_that_is_no_configuration_is_an_error(check, text):
    status, found = check(text)
    assert status == EXIT_ERRORS
    assert all(line.startswith("error: ") for line in found)
    assert found


def test_what_differs_from_the_version_in_force_is_listed_without_keys(check):
    old = changed(tenants=WORKSPACES)
    new = make_configuration(3, extra=make_route("/extra/"))
    new["routes"]["read"]["timeout"] = "2000ms"
    del new["routes"]["post"]
    new["tenants"] = {"ukara": {**WORKSPACES["ukara"], "apiKeys": ["k-2"], "burst": 9}}
    status, found = check(new, in_force=old)
    assert (status, found) == (
        0,
        [
            "route extra: added",
            "route post: removed",
            "route read: timeout_s 3.0 -> 2.0",
            "workspace ukara: burst 5.0 -> 9.0, 0 keys added, 1 removed",
        ],
    )


def test_a_version_that_is_not_above_the_one_in_force_is_an_error(check):
    status, found = check(make_configuration(2), in_force=make_configuration(2))
    assert status == EXIT_ERRORS
    assert found == ["error: version: 2 is not above 2, which is in force"]


def test_a_command_without_a_file_shows_its_usage(capsys):
    assert main([]) == EXIT_ERRORS
    assert "usage" in capsys.readouterr().err
