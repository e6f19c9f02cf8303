"""Record the messages and files of a commit: `python -m tests.updates.record`.

Each landing is recorded once, by the commit that landed.
"""

import os
import pathlib
import subprocess
import sys
import tempfile

import fire

from tests import former_build
from tests.updates import layouts

FOLDER = pathlib.Path(__file__).parent / "recorded"


def main(commit: str) -> None:
    """Write the recording of COMMIT beside those of earlier builds."""
    with tempfile.TemporaryDirectory() as folder:
        packages = former_build.extract(str(commit), pathlib.Path(folder))
        recorded = subprocess.run(
            [sys.executable, layouts.__file__],
            check=True,
            capture_output=True,
            env={**os.environ, "PYTHONPATH": packages},
        )
    (FOLDER / f"{commit}.json").write_bytes(recorded.stdout)


if __name__ == "__main__":
    fire.Fire(main)
