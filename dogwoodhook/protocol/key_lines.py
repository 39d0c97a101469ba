"""Line numbers of the keys of a TOML text, for messages to operators."""

import re
from dataclasses import dataclass, field

KeyPath = tuple[str | int, ...]

_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_.\-\"']+)\s*=")


@dataclass(slots=True)
class KeyLines:
    r"""Line number of each key of a TOML text.

    Values that span several lines are not parsed, so the line found may at worst be
    one near the key.

    >>> lines = KeyLines('[template]\nname = "tills"\n')
    >>> lines.line(("template", "name"))
    2
    """

    text: str
    _lines: dict[KeyPath, int] = field(default_factory=dict)
    _counts: dict[KeyPath, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        section: KeyPath = ()
        for number, line in enumerate(self.text.splitlines(), start=1):
            if header := _HEADER.match(line):
                is_array = header.group(1) == "[["
                section = self._enter_section(
                    _key_parts(header.group(2)), is_array=is_array
                )
                self._lines.setdefault(section, number)
            elif key := _KEY.match(line):
                self._lines.setdefault((*section, *_key_parts(key.group(1))), number)

    def line(self, path: KeyPath) -> int | None:
        """Return the line of a key, or of the closest section around it."""
        for length in range(len(path), 0, -1):
            if path[:length] in self._lines:
                return self._lines[path[:length]]
        return None

    def _enter_section(self, parts: KeyPath, *, is_array: bool) -> KeyPath:
        path: KeyPath = ()
        for part in parts[:-1]:
            path = (*path, part)
            if path in self._counts:
                path = (*path, self._counts[path] - 1)
        path = (*path, parts[-1])
        if is_array:
            self._counts[path] = self._counts.get(path, 0) + 1
            path = (*path, self._counts[path] - 1)
        return path


def _key_parts(dotted: str) -> KeyPath:
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))
