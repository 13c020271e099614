#!/usr/bin/env python3
"""Measures the costs listed in docs/CAPACITY.md and replaces the page's table.

The text around the table is written by hand and left unchanged.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile

PAGE = "docs/CAPACITY.md"
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"


def measure_capacity(build):
    """Runs the in-process measurements; returns one row for each cost and size."""
    completed = subprocess.run([f"{build}/lavenderhall-capacity"], capture_output=True, text=True,
                               check=True, timeout=240)
    return [json.loads(line) for line in completed.stdout.splitlines()]


def measure_path(build):
    """Runs bench_path.py; returns its figures by name."""
    with tempfile.NamedTemporaryFile(suffix=".json") as output:
        subprocess.run([sys.executable, "scripts/bench_path.py", "--build", build, "--json",
                        output.name], check=True, timeout=240, stdout=subprocess.DEVNULL)
        with open(output.name, encoding="utf-8") as file:
            return json.load(file)


def format_table(rows, path_figures):
    """Returns the Markdown table of all measured figures."""
    lines = ["| duty | size | figure | unit |", "| --- | ---: | ---: | --- |"]
    for row in rows:
        lines.append(f"| {row['what']} | {row['size']} | {row['value']:.4g} | {row['unit']} |")
    for name in sorted(path_figures):
        lines.append(f"| path | 1 | {path_figures[name]:.6g} | {name} |")
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
    table = format_table(measure_capacity(options.build), measure_path(options.build))
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(head + BEGIN + "\n" + table + "\n" + END + tail)
    print(table)


if __name__ == "__main__":
    main()
