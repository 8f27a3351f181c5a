"""Source folders of this repository's own earlier commits."""

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

__all__ = ["BuildNotFoundError", "build_of"]

CACHE = Path(".cache/builds")


class BuildNotFoundError(Exception):
    """A commit isn't in this clone's history."""


def build_of(commit: str, repository: Path = Path(".")) -> Path:
    """Return a folder with the sources of a commit, which is made once.

    Parameters
    ----------
    commit : str
        The commit.
    repository : Path, optional
        The clone whose history is searched.

    Raises
    ------
    BuildNotFoundError
        If the clone lacks the commit, for example since it is shallow.
    """
    folder = (repository / CACHE / _full_name(commit, repository)).resolve()
    if not folder.exists():
        archive = _git(repository, "archive", commit, "boragedeck")
        # An unfinished folder must not be taken for a whole one.
        unfinished = folder.with_suffix(".new")
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(unfinished, filter="data")
        unfinished.rename(folder)
    return folder


def _full_name(commit: str, repository: Path) -> str:
    try:
        name = _git(repository, "rev-parse", "--verify", "-q", f"{commit}^{{commit}}")
    except subprocess.CalledProcessError as exc:
        text = f"commit {commit} isn't in this clone; fetch the whole history first"
        raise BuildNotFoundError(text) from exc
    return name.decode().strip()


def _git(repository: Path, *args: str) -> bytes:
    command = ["git", "-C", str(repository), *args]
    return subprocess.run(command, capture_output=True, check=True).stdout
