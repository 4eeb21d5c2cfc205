"""Test that the committed gRPC code follows from peer.proto."""

from __future__ import annotations

from pathlib import Path
import re
import subprocess

import pytest

ROOT = Path(__file__).parents[2]
FOLDER = Path("swiftpin/membership/proto")
GENERATOR_VERSION = re.compile(r"^# Protobuf Python Version: .*$|^    \d+,$", re.M)


@pytest.mark.parametrize("name", ["peer_pb2.py", "peer_grpc.py"])
def test_generated_code_is_current(name: str, tmp_path: Path) -> None:
    """Making the code again changes nothing but the generator's version."""
    pytest.importorskip("grpc_tools")
    subprocess.run([ROOT / "script/gen_proto", tmp_path], check=True)
    made = (tmp_path / FOLDER / name).read_text()
    committed = (ROOT / FOLDER / name).read_text()
    assert GENERATOR_VERSION.sub("", made) == GENERATOR_VERSION.sub("", committed)
