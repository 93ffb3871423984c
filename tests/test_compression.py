"""Compression of documents."""

import hypothesis
import pytest
from hypothesis import strategies

from rattanridge.kernel import codes, compression

LIMIT = 10_000


class TestCompression:
    @hypothesis.given(strategies.binary(max_size=LIMIT))
    def test_round_trip(self, data):
        assert compression.decompress(compression.compress(data), LIMIT) == data

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_data_is_read_or_refused(self, data):
        try:
            compression.decompress(data, LIMIT)
        except codes.Failure as failure:
            assert failure.code is codes.BAD_FIELD

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"{}",
            compression.compress(b"x" * 500)[:-1],
            compression.compress(b"x" * (LIMIT + 1)),
            compression.compress(b"x" * 100_000_000),
        ],
    )
    def test_truncated_long_and_invalid_data_are_refused(self, data):
        with pytest.raises(codes.Failure) as caught:
            compression.decompress(data, LIMIT)
        assert caught.value.code is codes.BAD_FIELD
