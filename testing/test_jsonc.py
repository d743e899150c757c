import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinglift.jsonc import JsoncError, locate, parse, strip_comments

TEXT = """{
  // "a": 1,
  "a": "http://x", /* two
  lines */ "b": [1,
    {"c": "/* kept */"}]
}"""


def test_comments_are_removed_and_offsets_kept():
    """Guards against faults reported on the wrong line below a comment."""
    assert parse(TEXT) == {"a": "http://x", "b": [1, {"c": "/* kept */"}]}
    assert len(strip_comments(TEXT)) == len(TEXT)
    assert locate(TEXT, ("b", 1, "c")) == 5
    assert locate(TEXT, ("b", 0)) == 4
    assert locate(TEXT, ("b", 1, "absent")) == 5


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ('{\n"a": {"x": 1,\n"x": 2}}', 3, "appears twice, first on line 2"),
        ('{\n"a": 1,\n}', 3, "remove the comma"),
        ('{"a": 1\n/* open', 2, "not closed"),
        ('{"a": NaN}', 1, "not a JSON number"),
        ("[" * 100_000, 1, "nested too deeply"),
        ("null", 1, "no content"),
    ],
)
def test_faults_have_lines(text, line, message):
    """Guards against a fault that is reported with the wrong line."""
    with pytest.raises(JsoncError, match=message) as caught:
        parse(text)
    assert caught.value.line == line


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@given(st.dictionaries(st.text(), VALUES))
def test_json_is_unchanged(value):
    """Guards against removing text in strings as a comment."""
    assert parse(json.dumps(value, indent=1)) == value


@given(st.text())
def test_any_text_is_parsed_or_refused(text):
    """Guards against exceptions other than JsoncError."""
    try:
        parse(text)
    except JsoncError as error:
        assert error.line >= 1
