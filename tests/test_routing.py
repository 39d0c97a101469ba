from dogwoodhook.state.model import Parameters, Route, Service
from dogwoodhook.state.routing import RouteMatch, RouteTable


def make_service(name, *routes):
    return Service(name, f"{name}-workspace", Parameters(), (), routes)


def test_the_longest_prefix_wins():
    table = RouteTable(
        [
            make_service("all", Route("/")),
            make_service("sheets", Route("/timesheets")),
        ]
    )
    assert table.match("h", "/timesheets/7").service == "sheets"
    assert table.match("h", "/timesheetsx").service == "all"


def test_a_route_with_a_host_takes_precedence_over_one_without():
    table = RouteTable(
        [
            make_service("any", Route("/tills")),
            make_service("oulu", Route("/", host="Oulu.example", workspace="ranch")),
        ]
    )
    assert table.match("oulu.example:8080", "/tills") == RouteMatch("oulu", "ranch")
    assert table.match("turku.example", "/tills") == RouteMatch("any", "any-workspace")


def test_a_path_without_a_route_matches_nothing():
    assert RouteTable([]).match("h", "/") is None
