"""Any configuration that the pages allow, written in any form that means the same."""

import json
import random

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.kernel import codes
from rattanridge.platform import configs
from rattanridge.policies import splitting
from tests import test_config_forms


class AnyForm:
    """Writes a document as JSON in a form that means the same, chosen at random."""

    def __init__(self, draw):
        self.draw = draw

    def write(self, value):
        if isinstance(value, dict):
            return self.write_object(value)
        if isinstance(value, list):
            return "[" + ",".join(map(self.write, value)) + "]"
        if isinstance(value, int | float) and not isinstance(value, bool):
            return self.write_number(value)
        return json.dumps(value)

    def write_object(self, value):
        members = [(key, self.write(item)) for key, item in value.items()]
        if self.draw.random() < 0.3:
            members.append(("Unknown", self.draw.choice(["null", "[{}]", "1e400"])))
        left_out = sorted(OPTIONAL_KEYS - value.keys())
        if left_out and self.draw.random() < 0.5:
            members.append((self.draw.choice(left_out), "null"))
        self.draw.shuffle(members)
        space = self.draw.choice(["", " ", "\n\t"])
        return "{" + ",".join(f'{space}"{key}":{item}' for key, item in members) + "}"

    def write_number(self, value):
        forms = [repr(value), repr(float(value)), f"{value:.17e}"]
        if value == int(value) and abs(value) < 2**53:
            forms += [str(int(value)), f"{int(value)}.000", f"{int(value)}E-0"]
        return self.draw.choice(forms)


OPTIONAL_KEYS = {place[-1] for place in test_config_forms.OPTIONAL.values()}
COUNTS = strategies.integers(0, 2**40)
TIMES = strategies.floats(0, 1e12)
WEIGHTS = strategies.one_of(COUNTS, strategies.floats(0, allow_infinity=False))
SHARES = strategies.fixed_dictionaries(
    {"Service": strategies.sampled_from(["s", "t"]), "Weight": WEIGHTS}
)
ROUTES = strategies.fixed_dictionaries(
    {"PathPrefix": strategies.sampled_from(["/", "/a/", "/a/b/"])},
    optional={
        "Name": strategies.text(max_size=5),
        "Kind": strategies.sampled_from(["safe", "unsafe", "download", "odd"]),
        "Priority": COUNTS,
        "TimeoutMs": TIMES,
        "TargetLatencyMs": TIMES,
        "MaxAttempts": COUNTS,
        "Service": strategies.sampled_from(["s", "t"]),
        "TrafficSplit": strategies.lists(SHARES, max_size=3),
        "Public": strategies.booleans(),
    },
)
LIMITS = strategies.fixed_dictionaries(
    {},
    optional={
        "MaxHeaderBytes": COUNTS,
        "MaxBodyBytes": COUNTS,
        "HeaderTimeoutMs": TIMES,
        "IdleTimeoutMs": TIMES,
    },
)
SERVICES = strategies.fixed_dictionaries(
    {},
    optional={"HealthPath": strategies.just("/h"), "MaxConnections": COUNTS},
)


@strategies.composite
def documents(draw):
    """Return a configuration that the pages allow."""
    services = [{"Name": name} | draw(SERVICES) for name in ("s", "t")]
    paths = draw(strategies.lists(ROUTES, max_size=4))
    found = {"Version": "0000000c", "Services": services}
    found["VirtualHosts"] = [{"Host": "h", "Paths": paths}]
    if draw(strategies.booleans()):
        found["Limits"] = draw(LIMITS)
    return found


class TestAnyForm:
    # Guards against all of the above in any mixture: the form in which a version is
    # written must change nothing, and no version that the pages allow is refused.
    @hypothesis.given(documents(), strategies.randoms(use_true_random=False))
    def test_form_makes_no_difference(self, document, draw):
        plain = configs.decode(json.dumps(document).encode())
        found = configs.decode(AnyForm(draw).write(document).encode())
        assert found == plain
        assert not found.unused
        assert configs.decode(configs.encode(found)).services == found.services

    @hypothesis.given(documents())
    def test_split_of_any_weights_can_be_used(self, document):
        splitter = splitting.Splitter(random.Random(1))
        for route in configs.decode(json.dumps(document).encode()).routes.get("h", ()):
            allowed = {share.service for share in route.shares if share.weight > 0}
            if allowed:
                assert {splitter.choose(route) for _ in range(9)} <= allowed
            else:
                with pytest.raises(codes.Failure):
                    splitter.choose(route)


ANYTHING = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)
PLACES = sorted(
    {
        test_config_forms.name_of(place): place
        for place in test_config_forms.places(test_config_forms.FULL)
    }.items()
)
REASONS = (codes.BAD_FIELD, codes.BAD_ACCOUNT, codes.MISSING_SERVICE)
REFUSING = test_config_forms.NEEDED | test_config_forms.EXACT


class TestAnyValue:
    # Guards against a value that refuses a version which can do without it, and against
    # an error that is no coded one and ends the watch.
    @hypothesis.settings(max_examples=500)
    @hypothesis.given(strategies.sampled_from(PLACES), ANYTHING)
    def test_costs_a_version_only_what_depends_on_it(self, named, value):
        name, place = named
        try:
            found = test_config_forms.decode_with(place, value)
        except codes.Failure as failure:
            assert failure.code in REASONS
            assert name in REFUSING or (place[-1] == "Service" and value)
        else:
            assert found.version == 12 or name == "Version"
