"""The records of many nodes."""

import pytest

from rattanridge.mesh.discovery import directory as directories, records
from rattanridge.platform import store_objects
from tests import silent_log


class Suspects:
    """Ignores all evidence."""

    def apply(self, name, suspects):
        pass


class CountingNames(dict):
    """Counts the names that are looked at."""

    looked_at = 0

    def get(self, key, default=None):
        found = super().get(key, default)
        self.looked_at += len(found)
        return found


def make_item(number, revision, hop=None, state="ready"):
    record = records.Record(
        hop or f"10.0.0.{number}:1", "a", "s", f"i-{number}", 1, "v1", 4, state
    )
    return store_objects.StoredObject(
        f"node-{number}", revision, records.encode(record)
    )


def make_directory():
    return directories.Directory(Suspects(), silent_log.SilentLog())


def nodes_of(directory):
    return sorted(item.node for item in directory.candidates_of("s"))


class TestManyNodes:
    # Guards against: each record applied was compared with all others, 690,000
    # comparisons at 830 nodes for each start and each forgotten history.
    @pytest.mark.parametrize("size", [16, 195, 830])
    def test_a_list_costs_one_look_for_each_node(self, size):
        directory = make_directory()
        directory.names_by_hop = CountingNames()
        directory.apply_all([make_item(number, number + 1) for number in range(size)])
        assert len(directory.candidates) == size
        assert directory.names_by_hop.looked_at == size


class TestAddresses:
    def test_newer_record_has_the_address(self):
        directory = make_directory()
        directory.apply(make_item(1, 5, "h:1"))
        directory.apply(make_item(2, 7, "h:1"))
        assert nodes_of(directory) == ["node-2"]
        directory.apply(make_item(3, 6, "h:1"))
        assert nodes_of(directory) == ["node-2"]

    def test_address_of_a_removed_or_moved_node_is_free(self):
        directory = make_directory()
        directory.apply(make_item(1, 5, "h:1"))
        directory.apply(make_item(1, 6, "h:2"))
        directory.apply(make_item(2, 7, "h:1"))
        assert nodes_of(directory) == ["node-1", "node-2"]
        directory.apply(store_objects.StoredObject("node-1", 8, deleted=True))
        assert nodes_of(directory) == ["node-2"]
        assert directory.names_by_hop == {"h:1": {"node-2"}}

    def test_unreadable_record_removes_the_node(self):
        directory = make_directory()
        directory.apply(make_item(1, 5))
        directory.apply(store_objects.StoredObject("node-1", 6, b"5"))
        assert not directory.records
        assert not directory.names_by_hop
