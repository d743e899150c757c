"""Parses JSON with comments and finds the lines of its values."""

import json
import pathlib
import re
from functools import cached_property
from typing import Any

from attrs import define, field

from lacewinglift.errors import Fault

Path = tuple[str | int, ...]
"""Names and list indexes that lead from the top of a document to a value."""

# A text part contains whole strings, so that comment marks in strings are kept. The
# quantifiers are possessive, as backtracking would need memory for each string.
_TEXT_OR_COMMENT = re.compile(
    r'(?P<text>(?:[^"/]++|"(?:\\.|[^"\\])*+"|/(?![/*]))++)'
    r"|(?P<comment>//[^\n]*|/\*.*?\*/)"
    r"|(?P<open>/\*)"
    r"|(?P<rest>.)",
    re.DOTALL,
)
_NOT_NEWLINE = re.compile(r"[^\n]")
_TOKEN = re.compile(r'"(?:\\.|[^"\\])*"|[{}\[\],]|[^\s{}\[\],:"]+')


class JsoncError(ValueError):
    """Raised if a text is not JSON with comments.

    Parameters
    ----------
    message : str
        What is wrong.
    line : int
        Line of the text, counted from 1.
    """

    def __init__(self, message: str, line: int) -> None:
        super().__init__(message)
        self.line = line


def strip_comments(text: str) -> str:
    """Return `text` with each character of a comment, except newlines, made a space.

    Offsets and lines of the other characters stay the same.
    """
    parts = []
    for match in _TEXT_OR_COMMENT.finditer(text):
        if match.lastgroup == "open":
            line = _line_of(text, match.start())
            raise JsoncError("this comment is not closed; add */", line)
        part = match.group()
        if match.lastgroup == "comment":
            part = _NOT_NEWLINE.sub(" ", part)
        parts.append(part)
    return "".join(parts)


def parse(text: str) -> Any:
    """Return the value of a JSON text with comments.

    Raises
    ------
    JsoncError
        If the text is not JSON with comments, or an object has a name twice.
    """
    document = Document("", text)
    if document.faults:
        first = document.faults[0]
        raise JsoncError(first.message, first.line)
    return document.value


def locate(text: str, path: Path) -> int:
    """Return the line of the value at `path`, or of its nearest parent."""
    return Document("", text).line(path)


def read_document(file: str | pathlib.Path) -> "Document":
    """Return the document in `file`; if reading fails, the document has a fault."""
    try:
        text = pathlib.Path(file).read_bytes().decode("utf-8-sig")
    except OSError as error:
        reason = error.strerror or str(error)
        return Document(str(file), "{}", [Fault(str(file), 1, f"{reason}")])
    except UnicodeDecodeError as error:
        line = error.object[: error.start].count(b"\n") + 1
        fault = Fault(str(file), line, "not UTF-8; save the file as UTF-8")
        return Document(str(file), "{}", [fault])
    return Document(str(file), text)


@define(eq=False, slots=False)
class Document:
    """A parsed file.

    Parameters
    ----------
    file : str
        Name of the file in faults.
    text : str
        Content of the file.
    faults : list of Fault
        Syntax faults; `value` is None if the text is not JSON.
    """

    file: str
    text: str
    faults: list[Fault] = field(factory=list)
    value: Any = field(init=False, default=None)
    stripped: str = field(init=False, repr=False, default="null")

    def __attrs_post_init__(self) -> None:
        """Parse the text."""
        try:
            self.stripped = strip_comments(self.text)
            self._parse()
        except JsoncError as error:
            self.faults.append(Fault(self.file, error.line, str(error)))

    @property
    def is_readable(self) -> bool:
        """Whether the text could be parsed."""
        return self.value is not None

    @cached_property
    def offsets(self) -> dict[Path, int]:
        """Offset of the name or list entry at each path."""
        return _index(self.stripped)[0]

    def line(self, path: Path) -> int:
        """Return the line of the value at `path`, or of its nearest parent."""
        return _line_of(self.text, self.offsets.get(self.longest_known_path(path), 0))

    def longest_known_path(self, path: Path) -> Path:
        """Return the longest prefix of `path` that exists in the document."""
        if not self.is_readable:
            return ()
        while path and path not in self.offsets:
            path = path[:-1]
        return path

    def _parse(self) -> None:
        repeated = False

        def unite(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
            nonlocal repeated
            united = dict(pairs)
            repeated = repeated or len(united) < len(pairs)
            return united

        try:
            self.value = json.loads(
                self.stripped, object_pairs_hook=unite, parse_constant=_refuse_constant
            )
        except json.JSONDecodeError as error:
            raise JsoncError(_explain(self.stripped, error), error.lineno) from None
        except (ValueError, RecursionError) as error:
            raise JsoncError(_explain_limit(error), 1) from None
        if self.value is None:
            raise JsoncError("the file has no content but null", 1)
        if repeated:
            self._add_repeated()

    def _add_repeated(self) -> None:
        for path, first, again in _index(self.stripped)[1]:
            message = (
                f"{path[-1]!r} appears twice, first on line "
                f"{_line_of(self.text, first)}; remove one"
            )
            self.faults.append(Fault(self.file, _line_of(self.text, again), message))


def _line_of(text: str, offset: int) -> int:
    return text.count("\n", 0, offset) + 1


def _refuse_constant(constant: str) -> None:
    raise ValueError(f"{constant} is not a JSON number")


def _explain_limit(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "objects are nested too deeply"
    return str(error)


def _explain(text: str, error: json.JSONDecodeError) -> str:
    before = text[: error.pos].rstrip()
    if text[error.pos : error.pos + 1] in ("}", "]") and before.endswith(","):
        return "a comma before a closing bracket; remove the comma"
    return f"not JSON: {error.msg} (column {error.colno})"


@define
class _Container:
    """An object or list whose end `_index` has not reached yet."""

    path: Path
    is_list: bool
    key: str | int | None = None
    expects_name: bool = True

    def child_path(self) -> Path:
        assert self.key is not None
        return (*self.path, self.key)


def _index(
    text: str,
) -> tuple[dict[Path, int], list[tuple[Path, int, int]]]:
    """Return the offsets of all values by path, and the repeated names.

    A repeated name is (path, offset of the previous use, offset of the repetition).
    `text` must be valid JSON.
    """
    offsets: dict[Path, int] = {(): 0}
    repeated: list[tuple[Path, int, int]] = []
    stack: list[_Container] = []
    for match in _TOKEN.finditer(text):
        token = match.group()
        top = stack[-1] if stack else None
        if token in ("}", "]"):
            stack.pop()
        elif token == ",":
            assert top is not None
            top.expects_name = True
        elif top is not None and not top.is_list and top.expects_name:
            top.key = json.loads(token)
            top.expects_name = False
            path = top.child_path()
            if path in offsets:
                repeated.append((path, offsets[path], match.start()))
            offsets[path] = match.start()
        else:
            path = _enter_value(top, offsets, match.start())
            if token in ("{", "["):
                stack.append(_Container(path, token == "["))
    return offsets, repeated


def _enter_value(top: _Container | None, offsets: dict[Path, int], offset: int) -> Path:
    if top is None:
        return ()
    if top.is_list:
        top.key = 0 if top.key is None else int(top.key) + 1
        offsets[top.child_path()] = offset
    return top.child_path()
