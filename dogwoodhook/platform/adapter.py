"""Builds the adapter from the settings file."""

from pathlib import Path

from dogwoodhook.gateway import PlatformAdapter
from dogwoodhook.platform.headers import PLATFORM_DIALECT
from dogwoodhook.platform.rows import make_row_decoder
from dogwoodhook.platform.settings_file import parse_settings
from dogwoodhook.platform.store_client import HttpStore
from dogwoodhook.vm_settings import VmSettings


class SettingsFile:
    """The settings file, and the text and settings of its last read."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text = path.read_text()
        self.settings = parse_settings(self._text, place=str(path))

    def reread(self) -> VmSettings | None:
        """Return the settings if the file has changed, otherwise ``None``.

        Raise ``FindingsError`` for bad settings, once for each change of the file.
        """
        text = self._path.read_text()
        if text == self._text:
            return None
        self._text = text
        self.settings = parse_settings(text, place=str(self._path))
        return self.settings


def make_adapter(path: Path) -> PlatformAdapter:
    """Return the adapter of a VM, or raise ``FindingsError`` for bad settings."""
    file = SettingsFile(path)
    store = HttpStore(file.settings.store_address)

    def reread() -> VmSettings | None:
        settings = file.reread()
        if settings is not None:
            store.address = settings.store_address
        return settings

    return PlatformAdapter(
        settings=file.settings,
        store=store,
        decoder=make_row_decoder(),
        dialect=PLATFORM_DIALECT,
        reread_settings=reread,
    )
