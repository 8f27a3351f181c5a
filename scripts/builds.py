"""Source folders of this repository's own earlier commits."""

import subprocess
import tarfile
import tempfile
from io import BytesIO
from pathlib import Path

__all__ = ["BuildNotFoundError", "build_of", "has_module"]

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
        folder.parent.mkdir(parents=True, exist_ok=True)
        archive = _git(repository, "archive", commit, "boragedeck")
        _unpack(archive, folder)
    return folder


def has_module(build: Path, name: str) -> bool:
    """Return whether a build has a module, which tells what the build can do.

    Parameters
    ----------
    build : Path
        The source folder.
    name : str
        The module's name, without its packages.
    """
    return any(Path(build, "boragedeck").rglob(f"{name}.py"))


def _unpack(archive: bytes, folder: Path) -> None:
    """Make a folder, which other processes may be making at the same time."""
    with tempfile.TemporaryDirectory(dir=folder.parent) as directory:
        unfinished = Path(directory, "sources")
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(unfinished, filter="data")
        try:
            unfinished.rename(folder)
        except OSError:
            # Another process was first.
            if not folder.exists():
                raise


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
