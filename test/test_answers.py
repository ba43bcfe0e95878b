"""Answers files: generated configurations, and one line for each mistake."""

from pathlib import Path

import msgspec
import pytest

from cicadawheel.answers import (
    AnswersError,
    difference,
    explain,
    generate_configuration,
    new_answers_text,
    read_answers,
)
from cicadawheel.configuration import (
    DataCentreState,
    RepeatRule,
    find_route,
)
from cicadawheel.errors import SettingsError

EXAMPLES = Path(__file__).parent.parent / "examples"
DATA_CENTRE = "[data-centre a]\nregion = r\n"
SERVICE = "[service s]\ndeadline_ms = 100\n"
MINIMAL = DATA_CENTRE + SERVICE
ROUTE = "[route s x]\nmethod = GET\npath_prefix = /x\nrepeat = never\n"


@pytest.fixture
def read(tmp_path):
    def read_text(text):
        path = tmp_path / "answers.ini"
        path.write_text(text)
        return read_answers(path)

    return read_text


@pytest.fixture
def configuration():
    return generate_configuration(read_answers(EXAMPLES / "kushiro.ini"))


@pytest.mark.parametrize(
    ("name", "data_centres", "services"),
    [
        ("kushiro", 3, {"booking", "materials"}),
        ("cofio", 4, {"reminders", "artwork"}),
    ],
)
def test_examples_generate(name, data_centres, services):
    generated = generate_configuration(read_answers(EXAMPLES / f"{name}.ini"))
    assert generated.revision == 0
    assert generated.services.keys() == services
    assert len(generated.data_centres) == data_centres
    for rule in generated.data_centres.values():
        assert rule.state is DataCentreState.IN
        assert len(rule.distance_ms) == data_centres - 1


def test_questionnaire_is_itself_valid(read):
    assert explain(read(new_answers_text()))


@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH", "DELETE", "PURGE"])
def test_write_without_a_route_never_repeats(read, method):
    service = generate_configuration(read(MINIMAL)).services["s"]
    assert find_route(service, method, "/y").repeat is RepeatRule.NEVER


@pytest.mark.parametrize("method", ["GET", "HEAD", "OPTIONS"])
def test_read_without_a_route_is_repeatable(read, method):
    service = generate_configuration(read(MINIMAL)).services["s"]
    assert find_route(service, method, "*").repeat is RepeatRule.REPEATABLE


def test_longest_prefix_wins_in_any_order(read):
    text = MINIMAL + (
        "[route s all]\nmethod = *\npath_prefix = /\nrepeat = repeatable\n"
        "[route s any]\nmethod = *\npath_prefix = /pay\nrepeat = repeatable\n"
        "[route s pay]\nmethod = POST\npath_prefix = /pay\nrepeat = never\n"
    )
    service = generate_configuration(read(text)).services["s"]
    assert find_route(service, "POST", "/pay/1").name == "pay"
    assert find_route(service, "GET", "/pay/1").name == "any"
    assert find_route(service, "POST", "/other").name == "all"


def test_route_inherits_the_deadline_of_its_service(read):
    service = generate_configuration(read(MINIMAL + ROUTE)).services["s"]
    assert find_route(service, "GET", "/x").deadline_ms == 100


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "no [service NAME] section"),
        (SERVICE, "no [data-centre NAME] section"),
        (MINIMAL + "[servic t]\n", "[servic t]: unknown section; did you mean service"),
        (MINIMAL + "[service]\n", "[service]: write the section as [service NAME]"),
        (
            MINIMAL + "[service a/b]\ndeadline_ms = 1\n",
            "[service a/b] name = a/b: give",
        ),
        (MINIMAL + "[service t]\n", "[service t] deadline_ms: no answer; give milli"),
        (MINIMAL + "retry = 1\n", "[service s] retry: unknown field; did you mean"),
        (MINIMAL + "retry_share = 2\n", "retry_share = 2: give a share from 0 to 1"),
        (MINIMAL + "retry_share = nan\n", "retry_share = nan: give a share"),
        (MINIMAL + "retry_share =\n", "retry_share: no answer; give a share"),
        (DATA_CENTRE + "[service s]\ndeadline_ms = inf\n", "deadline_ms = inf: give"),
        (DATA_CENTRE + "[service s]\ndeadline_ms = 2s\n", "deadline_ms = 2s: give"),
        (MINIMAL + ROUTE.replace("never", "once"), "repeat = once: give never or"),
        (MINIMAL + ROUTE.replace("GET", "get"), "method = get: give one of GET"),
        (MINIMAL + ROUTE.replace("/x", "x"), "path_prefix = x: give the beginning"),
        (MINIMAL + ROUTE.replace("s x", "t x"), "service = t: no such service"),
        (MINIMAL + ROUTE + ROUTE.replace("s x", "s y"), "[route s x] has the same"),
        (MINIMAL + ROUTE.replace("s x", "s default-x"), "default- are taken"),
        (MINIMAL + "[release-habits t]\n", "[release-habits t] service = t: no such"),
        (MINIMAL + "[service  s]\ndeadline_ms = 1\n", "the section is repeated"),
        (MINIMAL + SERVICE, "line 5 repeats the section"),
        (MINIMAL + "deadline_ms = 3\n", "line 5 repeats the field"),
        ("x = 1\n", "line 1 comes before the first [section]"),
        (MINIMAL + "nonsense\n", "line 5: not a [section], a field = value"),
        (MINIMAL + "[DEFAULT]\nregion = x\n", "[DEFAULT]: unknown section"),
        (MINIMAL + "[data-centre b]\nregion = r\n", "[data-centre b] distance_ms: no"),
        (DATA_CENTRE + "distance_ms = a 1\n" + SERVICE, "distance_ms = a: not another"),
        (DATA_CENTRE + "distance_ms = b\n" + SERVICE, "distance_ms = b: give pairs"),
        (
            "[data-centre b]\nregion = r\ndistance_ms = a 2\n"
            + DATA_CENTRE
            + "distance_ms = b 1\n"
            + SERVICE,
            "distance_ms = b 1: [data-centre b] gives 2 for the same pair",
        ),
    ],
)
def test_mistake_is_reported_in_one_line(read, tmp_path, text, expected):
    with pytest.raises(AnswersError) as caught:
        read(text)
    lines = str(caught.value).splitlines()
    assert any(expected in line for line in lines)
    assert all(line.startswith(f"{tmp_path}/answers.ini: ") for line in lines)


def test_all_mistakes_are_listed(read):
    with pytest.raises(AnswersError) as caught:
        read("[data-centre a]\n[service s]\ndeadline_ms = x\nretry_share = 7\n")
    places = [(item.section, item.field) for item in caught.value.mistakes]
    assert places == [
        ("data-centre a", "region"),
        ("service s", "deadline_ms"),
        ("service s", "retry_share"),
    ]


def test_invalid_section_is_not_also_reported_as_missing(read):
    with pytest.raises(AnswersError) as caught:
        read(MINIMAL + "retry_share = 7\n" + ROUTE)
    assert len(caught.value.mistakes) == 1


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="none.ini: can't be read"):
        read_answers(tmp_path / "none.ini")


def test_explanation_of_examples(snapshot):
    names = ("kushiro", "cofio")
    lines = [explain(read_answers(EXAMPLES / f"{name}.ini")) for name in names]
    assert lines == snapshot


def test_difference_ignores_values_kept_by_control(configuration):
    data_centre = configuration.data_centres["kushiro-a"]
    out = msgspec.structs.replace(data_centre, state=DataCentreState.OUT)
    service = configuration.services["booking"]
    moved = msgspec.structs.replace(service, current_version="v2")
    current = msgspec.structs.replace(
        configuration,
        revision=7,
        data_centres={**configuration.data_centres, "kushiro-a": out},
        services={**configuration.services, "booking": moved},
    )
    assert difference(current, configuration) == []


def test_renamed_route_that_becomes_repeatable_gives_a_warning(read):
    old = generate_configuration(read(MINIMAL + ROUTE))
    text = ROUTE.replace("s x", "s y").replace("never", "repeatable")
    lines = difference(old, generate_configuration(read(MINIMAL + text)))
    assert "! service s: GET /x may now run more than once" in lines


def test_removal_of_a_data_centre_that_is_out_gives_a_warning(read, configuration):
    data_centre = configuration.data_centres["kushiro-a"]
    out = msgspec.structs.replace(data_centre, state=DataCentreState.OUT)
    data_centres = {**configuration.data_centres, "kushiro-a": out}
    current = msgspec.structs.replace(configuration, data_centres=data_centres)
    lines = difference(current, generate_configuration(read(MINIMAL)))
    assert [line for line in lines if "kushiro-a" in line] == [
        "! data centre kushiro-a: is out, and stays out although it is missing from "
        "the answers"
    ]


def test_difference_names_each_change(read, configuration, snapshot):
    text = (EXAMPLES / "kushiro.ini").read_text()
    text = text.replace("repeat = never\ndeadline_ms = 5000", "repeat = repeatable")
    text = text.replace("probes_per_s = 10", "probes_per_s = 5")
    text = text.replace("[route booking search]", "[route booking find]")
    text = text.replace("kushiro-c 1.5", "kushiro-c 2")
    text = text.replace("slowdown_limit = 1.5", "slowdown_limit = 2")
    new = generate_configuration(read(text))
    assert difference(configuration, new) == snapshot
    assert difference(configuration, generate_configuration(read(MINIMAL))) == snapshot
