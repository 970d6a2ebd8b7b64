"""Experiment steering-speed: runs the in-process measurement of guavaramp-bench."""
import json
import os
import subprocess

from .fleet import BIN, MissingPart


def steering_speed(seed, options):
    path = os.path.join(BIN, "guavaramp-bench")
    if not os.path.exists(path):
        raise MissingPart("guavaramp-bench is not built")
    answer = subprocess.run([path, "steering-speed", "--seed", str(seed)], capture_output=True, text=True,
                            timeout=50, check=False)
    if answer.returncode != 0:
        raise MissingPart(f"guavaramp-bench: status {answer.returncode}: {answer.stderr[-300:]}")
    fields = json.loads(answer.stdout.strip().splitlines()[-1])
    return {name: value for name, value in fields.items() if name not in ("seed", "commit")}
