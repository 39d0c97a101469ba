"""Checks that requests are routed and sent by their URIs as the callers sent them."""

from contextlib import AsyncExitStack

from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodhook.protocol.request_uri import parse_request_uri
from dogwoodhook.state.route_policy import RoutingConfiguration
from tests.platform_adapter.conftest import Platform, make_route
from tests.platform_adapter.raw_caller import raw_caller
from tests.platform_adapter.store_server import running_store

PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "//", "/%2F/", "/a%2Fb/", "/../")

PIECES = st.one_of(
    st.sampled_from(["a", "b", "c", "..", ".", ";x=1", "%2F", "%2f", "%00", "%C3%A9"]),
    st.text("abcXYZ019-._~!$&'()*+,;=:@", max_size=3),
)
SEGMENTS = st.lists(PIECES, max_size=3).map("".join)
PATHS = st.lists(SEGMENTS, min_size=1, max_size=5).map(lambda all: "/" + "/".join(all))
QUERIES = st.one_of(
    st.just(""),
    st.lists(st.one_of(PIECES, st.sampled_from("/?")), max_size=4).map(
        lambda all: "?" + "".join(all)
    ),
)
URIS = st.builds(str.__add__, PATHS, QUERIES)


def longest_prefix(uri):
    path = uri.split("?")[0]
    return max((each for each in PREFIXES if path.startswith(each)), key=len)


@given(URIS)
def test_a_uri_is_kept_as_it_is_and_matches_the_longest_prefix_of_its_path(uri):
    parsed = parse_request_uri(uri)
    assert parsed.text == uri
    routes = {("tills.example", prefix): prefix for prefix in PREFIXES}
    configuration = RoutingConfiguration(1, routes, {})
    assert configuration.match("tills.example", parsed.path) == longest_prefix(uri)


@given(URIS)
def test_a_uri_in_absolute_form_has_the_same_path_and_query(uri):
    parsed = parse_request_uri(f"http://tills.example:8080{uri}")
    assert (parsed.text, parsed.authority) == (uri, "tills.example:8080")


@given(URIS, st.integers(0), st.sampled_from('#"<>[]^`{|}\\ \t\x7f\x80é\udcff'))
def test_a_character_that_is_not_allowed_is_refused_wherever_it_stands(
    uri, place, character
):
    place %= len(uri) + 1
    assert parse_request_uri(uri[:place] + character + uri[place:]) is None


@settings(max_examples=10)
@given(st.lists(URIS, min_size=1, max_size=30))
async def test_a_request_arrives_with_the_uri_that_was_sent(uris):
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        platform = Platform(store, stack)
        await platform.configure(all=make_route("/"))
        target = await platform.start_target("t1")
        gateway = await platform.start_gateway()
        async with raw_caller(gateway) as caller:
            for number, uri in enumerate(uris):
                head = f"Host: 127.0.0.1\r\nRequest-Id: {number}\r\n\r\n"
                caller.writer.write(f"POST {uri} HTTP/1.1\r\n{head}".encode())
                assert (await caller.answer()).status == 200
        assert [each.path for each in target.received] == uris
