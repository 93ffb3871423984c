"""The command ``measure``, with experiments that end at once."""

import json

import click.testing
import pytest

from rattanridge.cli import main, measure
from rattanridge.kernel import codes, registry
from rattanridge.measure import base, results


def met(parameters):
    """Meets
    its target.

    The list does not show this paragraph.
    """
    base.print_progress("half way")
    return base.Result(
        "met", parameters.seed, 1, {"wait_ms": 1.5}, {"wait_ms": 2}, True
    )


def missed(parameters):
    """Misses its target."""
    return base.Result(
        "missed", parameters.seed, 1, {"wait_ms": 3}, {"wait_ms": 2}, False
    )


def broken(parameters):
    """Raises an error."""
    raise RuntimeError("no fleet")


@pytest.fixture(autouse=True)
def experiments(monkeypatch):
    """Replace the registered experiments by those of this file."""
    registered = registry.Registry("measurement")
    for experiment in (met, missed, broken):
        registered.register(experiment.__name__)(experiment)
    monkeypatch.setattr(registry, "load_plugins", lambda package: None)
    monkeypatch.setattr(base, "EXPERIMENTS", registered)
    return registered


def invoke(*arguments):
    return click.testing.CliRunner().invoke(main.main, ["measure", *arguments])


class TestList:
    def test_one_line_per_experiment(self):
        lines = invoke("list").output.splitlines()
        assert [line.split(maxsplit=1) for line in lines] == [
            ["broken", "Raises an error."],
            ["met", "Meets its target."],
            ["missed", "Misses its target."],
        ]


class TestRunOne:
    @pytest.mark.parametrize(
        ("name", "status"), [("met", 0), ("missed", 1), ("broken", 3), ("none", 2)]
    )
    def test_exit_status(self, name, status):
        assert invoke(name).exit_code == status

    def test_last_line_is_json(self):
        run = invoke("met", "--seed", "7")
        last = run.stdout.splitlines()[-1]
        assert json.loads(last) == {
            "name": "met",
            "seed": 7,
            "runs": 1,
            "figures": {"wait_ms": 1.5},
            "target": {"wait_ms": 2},
            "ok": True,
        }
        assert "wait_ms  1.5  (target 2)" in run.stdout

    def test_json_option_prints_only_json(self):
        run = invoke("met", "--json")
        assert len(run.stdout.splitlines()) == 1
        assert "half way" in run.stderr

    def test_error_is_printed_to_stderr(self):
        run = invoke("broken", "--json")
        assert "RuntimeError: no fleet" in run.stderr
        assert not run.stdout

    def test_unknown_name_lists_the_choices(self):
        run = invoke("none")
        assert str(codes.BAD_FIELD.number) in run.output
        assert "known: broken, met, missed" in run.output

    @pytest.mark.parametrize("option", [("--size", "-1"), ("--seconds", "-1")])
    def test_wrong_parameter(self, option):
        assert invoke("met", *option).exit_code == 2


class TestRunAll:
    def test_continues_after_an_error_and_saves_all(self, tmp_path):
        out = tmp_path / "new" / "results"
        assert invoke("all", "--out", str(out), "--seconds", "2").exit_code == 3
        saved = {path.stem: json.loads(path.read_text()) for path in out.glob("*.json")}
        assert set(saved) == {"met", "missed", "broken"}
        assert saved["broken"]["error"] == "RuntimeError: no fleet"
        assert saved["met"]["result"]["figures"] == {"wait_ms": 1.5}
        assert saved["met"]["command"] == (
            "rattanridge measure met --seed 1 --seconds 2"
        )
        assert saved["met"]["machine"]["cores"] >= 1

    def test_page(self, tmp_path):
        invoke("all", "--out", str(tmp_path))
        page = (tmp_path / results.TABLE_FILE).read_text()
        assert "## missed: target missed" in page
        assert "## broken: failed: RuntimeError: no fleet" in page
        assert "| wait_ms | 1.5 | 2 |" in page
        assert "    rattanridge measure met --seed 1\n" in page
        assert f"{results.this_machine().cores} cores, " in page

    def test_worst_status(self, experiments):
        del experiments.items["broken"]
        assert invoke("all").exit_code == measure.MISSED_EXIT
        del experiments.items["missed"]
        assert invoke("all").exit_code == 0


class TestPercentile:
    @pytest.mark.parametrize(
        ("values", "fraction", "value"),
        [([], 0.5, 0.0), ([3], 0.99, 3), ([1, 2, 3, 4], 0.5, 2), ([1, 2], 1.0, 2)],
    )
    def test_rank(self, values, fraction, value):
        assert base.percentile(values, fraction) == value
