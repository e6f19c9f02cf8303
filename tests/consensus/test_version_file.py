"""Which software versions a control replica still knows after a restart."""

import os

import pytest

from oriolejunction.consensus import version_file


def stored(folder, first_start=False):
    return version_file.VersionFile(folder, first_start)


def test_versions_outlive_a_restart_and_only_complete_lists_drop_them(
    tmp_path,
):
    file = stored(tmp_path, first_start=True)
    assert file.versions == {}
    file.store({"llm": {"v1"}}, covers_streams=False)
    file.store({"llm": {"v2"}}, covers_streams=False)
    restarted = stored(tmp_path)
    assert restarted.versions == {"llm": ("v1", "v2")}
    restarted.store({"llm": {"v2"}}, covers_streams=False)
    assert restarted.versions == {"llm": ("v1", "v2")}
    restarted.store({"llm": {"v2"}}, covers_streams=True)
    assert stored(tmp_path).versions == {"llm": ("v2",)}


@pytest.mark.parametrize("damage", [b"", b"no frame", None])
def test_lost_or_damaged_record_is_incomplete_until_the_list_is_known(
    tmp_path, damage
):
    """Fault: a replica with a new disk told that there was one version."""
    if damage is not None:
        (tmp_path / version_file.FILE_NAME).write_bytes(damage)
    file = stored(tmp_path)
    assert file.versions is None
    file.store({"llm": {"v1"}}, covers_streams=False)
    assert file.versions is None
    assert stored(tmp_path).versions is None
    file.store({"llm": {"v1"}}, covers_streams=True)
    assert file.versions == {"llm": ("v1",)}


def test_version_that_could_not_be_stored_makes_the_record_incomplete(
    tmp_path, monkeypatch
):
    file = stored(tmp_path, first_start=True)
    file.store({"llm": {"v1"}}, covers_streams=False)

    def full_disk(descriptor):
        raise OSError("disk full")

    monkeypatch.setattr(os, "fsync", full_disk)
    file.store({"llm": {"v1", "v2"}}, covers_streams=False)
    assert file.versions is None
    monkeypatch.undo()
    assert stored(tmp_path).versions is None
    file.store({"llm": {"v1", "v2"}}, covers_streams=False)
    assert file.versions is None
