import re
from pathlib import Path

import pytest

from dogwoodhook.protocol.documents import check_configuration, parse_document
from dogwoodhook.state.model import (
    Change,
    Configuration,
    Route,
    ServiceDefinition,
    Target,
    Template,
    apply_change,
)

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"

FIVE_MISTAKES = """\
[template]
name = "tills"

[template.parameters]
capacity_flor = 4
deadline_ms = 0
keyed_requests_without_table = "perhaps"

[[template.parameters.idempotent]]
method = "FETCH"
path = "/balances/*"

[[template.parameters.quiet_hours]]
time_zone = "Europe/Helsinky"
days = ["sat"]
start = "18:00"
end = "06:00"
capacity_floor = 2
"""


def parse(text):
    return parse_document(text, source="tills.toml")


def make_configuration(*documents):
    change = Change(1, "aino", 0.0, "t", documents)
    return apply_change(Configuration(), change)


def load_examples(name):
    files = sorted((EXAMPLES / name).glob("*.toml"))
    return [parse_document(file.read_text(), source=file.name).ok for file in files]


def make_service(name="balances", *, targets=None, path_prefix="/balances"):
    if targets is None:
        targets = (Target("t1", "turku-1", "127.0.0.1", 9001),)
    return ServiceDefinition(name, "tills", "oulu", targets, (Route(path_prefix),))


def test_five_mistakes_give_five_findings_each_with_its_line():
    findings = parse(FIVE_MISTAKES).error
    assert {str(finding) for finding in findings} >= {
        "tills.toml:6 template.parameters.deadline_ms: received 0, allowed 1..86400000",
        "tills.toml:14 template.parameters.quiet_hours.0.time_zone: received "
        "'Europe/Helsinky', allowed: a name of the time zone database such as "
        "Europe/Helsinki",
    }
    assert [finding.place.split()[0] for finding in sorted(findings, key=str)] == [
        "tills.toml:10",
        "tills.toml:14",
        "tills.toml:5",
        "tills.toml:6",
        "tills.toml:7",
    ]
    assert any("did you mean capacity_floor?" in each.message for each in findings)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[template", "not TOML"),
        ("", "received no document"),
        ("[template]", "missing"),
        ('[template]\nname = "a/b"', "received 'a/b', allowed: letters"),
        (
            '[template]\nname = "a"\n[template.parameters]\ncapacity_floor = "3"',
            "whole",
        ),
        (
            '[template]\nname = "a"\n[template.parameters]\ncapacity_floor = 1.5',
            "whole",
        ),
        ("template = 3", "allowed: a table"),
    ],
)
def test_a_malformed_document_is_a_finding(text, message):
    assert message in str(parse(text).error[0])


@pytest.mark.parametrize(
    "address", ["127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "till:80", "", ":1"]
)
def test_an_address_other_than_ip_and_port_is_a_finding(address):
    text = f"""
[service]
name = "balances"
template = "tills"
workspace = "oulu"
[service.targets.turku-1]
t1 = "{address}"
[[service.routes]]
path_prefix = "/balances"
"""
    (finding,) = parse(text).error
    assert finding.place == "tills.toml:7 service.targets.turku-1.t1"


@pytest.mark.parametrize(
    ("name", "sizes", "connections"),
    [
        (
            "mukamana",
            {"timesheets": 6, "allocations": 13, "certifications": 6, "balances": 12},
            400,
        ),
        (
            "tienvarsikassa",
            {"payouts": 6, "tills": 11, "ledgers": 6, "audits": 7},
            330,
        ),
    ],
)
def test_examples_match_the_deployments(name, sizes, connections):
    configuration = make_configuration(*load_examples(name))
    services = configuration.services()
    assert check_configuration(configuration) == ()
    assert {each.name: len(each.targets) for each in services} == sizes
    for service in services:
        assert service.parameters.slots_per_target == 3
        assert service.parameters.connections_per_target == connections
        assert len({target.data_centre for target in service.targets}) == 3
        assert not service.parameters.is_idempotent("POST", f"/{service.name}")


def test_example_addresses_are_distinct():
    documents = [*load_examples("mukamana"), *load_examples("tienvarsikassa")]
    services = make_configuration(*documents).services()
    ports = [target.port for service in services for target in service.targets]
    assert len(ports) == len(set(ports)) == 67
    assert min(ports) >= 20000


@pytest.mark.parametrize("page", ["README.md", "docs/operators.md"])
def test_toml_examples_in_the_documentation_are_valid(page):
    blocks = re.findall(r"```toml\n(.*?)```", (ROOT / page).read_text(), re.DOTALL)
    documents = [parse(block).ok for block in blocks]
    assert len(documents) == 2
    assert check_configuration(make_configuration(*documents)) == ()


def check_messages(*documents):
    return [str(each) for each in check_configuration(make_configuration(*documents))]


def test_floors_above_the_number_of_targets_are_findings():
    text = FIVE_MISTAKES.replace("capacity_flor", "capacity_floor")
    text = text.replace("deadline_ms = 0", "").replace("perhaps", "refuse")
    text = text.replace("FETCH", "GET").replace("Helsinky", "Helsinki")
    template = parse(text).ok
    assert check_messages(template, make_service()) == [
        "service.balances.parameters.capacity_floor: received 4, allowed 0..1, "
        "the number of targets",
        "service.balances.parameters.quiet_hours.0.capacity_floor: received 2, "
        "allowed 0..1, the number of targets",
    ]


@pytest.mark.parametrize("other", ["/balances", "/balances/"])
def test_a_route_of_two_services_is_a_finding(other):
    documents = (
        Template("tills"),
        make_service(),
        make_service("stock", path_prefix=other),
    )
    assert check_messages(*documents) == [
        f"service.stock.routes.0: received {other} on any host, "
        "which is a route of balances"
    ]


def test_duplicate_targets_and_addresses_are_findings():
    targets = (
        Target("t1", "turku-1", "127.0.0.1", 9001),
        Target("t1", "helsinki-1", "127.0.0.1", 9002),
        Target("t2", "helsinki-1", "127.0.0.1", 9001),
    )
    assert check_messages(Template("tills"), make_service(targets=targets)) == [
        "service.balances.targets.helsinki-1.t1: the name is taken by a target in "
        "turku-1",
        "service.balances.targets.helsinki-1.t2: received 127.0.0.1:9001, which is "
        "the address of t1",
    ]
