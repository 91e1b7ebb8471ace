"""One of four replicas truncates one in fifty of its answers, inside the end of an empty body in chunks."""

import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from kept import play  # noqa: E402

sys.exit(play(HERE, 0 if os.environ.get("TROUBLE", "1") == "0" else 50, None))
