#!/usr/bin/env python3
"""Measures the slopes of docs/CAPACITY.md and rewrites its table; the prose stays by hand."""

import argparse
import json
import os
import subprocess
import sys
import tempfile

PAGE = "docs/CAPACITY.md"
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"


def slopes(build):
    done = subprocess.run([f"{build}/lavenderhall-capacity"], capture_output=True, text=True,
                          check=True, timeout=240)
    return [json.loads(line) for line in done.stdout.splitlines()]


def path_figures(build):
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        subprocess.run([sys.executable, "scripts/bench_path.py", "--build", build, "--json",
                        file.name], check=True, timeout=240, stdout=subprocess.DEVNULL)
        with open(file.name, encoding="utf-8") as figures:
            return json.load(figures)


def table(rows, path):
    lines = ["| duty | size | figure | unit |", "| --- | ---: | ---: | --- |"]
    for row in rows:
        lines.append(f"| {row['what']} | {row['size']} | {row['value']:.4g} | {row['unit']} |")
    for name in sorted(path):
        lines.append(f"| path | 1 | {path[name]:.6g} | {name} |")
    return "\n".join(lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
    with open(PAGE, encoding="utf-8") as file:
        text = file.read()
    head, rest = text.split(BEGIN, 1)
    tail = rest.split(END, 1)[1]
    measured = table(slopes(options.build), path_figures(options.build))
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(head + BEGIN + "\n" + measured + "\n" + END + tail)
    print(measured)


if __name__ == "__main__":
    main()
