"""The record of what was sent, answered and run."""

import json
import pathlib
import time
import typing


class Record:
    """Events with the seconds since the record was begun."""

    def __init__(self, path: pathlib.Path):
        self._began_s = time.monotonic()
        self._file = path.open('w', encoding='utf-8')
        self.events: list[dict[str, typing.Any]] = []

    def add(self, event: str, **fields: typing.Any) -> float:
        """Write an event and return its time."""
        at_s = time.monotonic() - self._began_s
        self.events.append({'at_s': at_s, 'event': event, **fields})
        text = ' '.join(f'{k}={json.dumps(v)}' for k, v in fields.items())
        self._file.write(f'{at_s:8.3f} {event} {text}\n')
        self._file.flush()
        return at_s

    def close(self) -> None:
        """Close the file."""
        self._file.close()
