"""Command ``explain``: the log lines of one request from several files."""

import pytest
from click import testing

from rattanridge.cli import main

ENTRY = """\
time=2026-03-09T07:31:35.494182Z event=node-started node=one
time=2026-03-09T07:31:35.700000Z event=request-queue-full node=one id=4e1c
time=2026-03-09T07:31:35.800000Z event=request-late node=one id=4e1c.77
"""
EXIT = """\
time=2026-03-09T07:31:35.600000Z event=exit-refused node=two id=4e1c code=5003
time=2026-03-09T07:31:35.650000Z event=exit-refused node=two id=4e1cff code=5003
"""


@pytest.fixture
def files(tmp_path):
    paths = [tmp_path / "one.log", tmp_path / "two.log"]
    for path, text in zip(paths, (ENTRY, EXIT), strict=True):
        path.write_text(text)
    return [str(path) for path in paths]


class TestExplain:
    def test_lines_of_all_files_are_sorted_by_time(self, files):
        result = testing.CliRunner().invoke(main.main, ["explain", "4e1c", *files])
        assert result.exit_code == 0
        events = [
            line.split()[1] for line in result.output.splitlines() if "event" in line
        ]
        assert events == [
            "event=exit-refused",
            "event=request-queue-full",
            "event=request-late",
        ]
        assert "5003 queue-full" in result.output

    def test_unknown_request_exits_with_status_1(self, files):
        result = testing.CliRunner().invoke(main.main, ["explain", "9999", *files])
        assert result.exit_code == 1
