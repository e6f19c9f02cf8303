"""The packages of an earlier commit, beside those of the checkout."""

import io
import pathlib
import subprocess
import tarfile


def extract(commit: str, folder: pathlib.Path) -> str:
    """Write the packages of a commit to a folder; return their path."""
    archive = subprocess.run(
        ["git", "archive", commit, "src"], check=True, capture_output=True
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return str(folder / "src")
