"""Plays each mechanism off and writes what it is worth, as a Markdown table.

Usage: tools/ablation.py PLAYER SITE_FILE[,SITE_FILE] --days DAY,DAY --seeds SEED,SEED --out FILE

PLAYER is the users' program that plays a day of a deployment (``run SITE DAY --report F``).
Each variant is played in a scratch clone of this repository whose deployed settings switch one
mechanism off; the clones are made below --folder and keep what the program writes there. A run that
was cut off goes on where it stopped; name a new folder after a change of the code.
"""

import argparse
import dataclasses
import json
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from yokedock.request.mechanisms import Mechanisms

ROOT = Path(__file__).resolve().parent.parent
ALL = "all on"
WASTED = "1,000 tokens read for nothing"


def make_clone(folder, variant):
    """Return a clone of the last commit with one mechanism off."""
    clone = folder / variant.replace(" ", "-")
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    template = clone / "deploy" / "router.ini"
    if variant != ALL and "[mechanisms]" not in template.read_text():
        template.write_text(f"{template.read_text()}\n[mechanisms]\n{variant} = no\n")
    return clone


def play(player, clone, play_key):
    """Return the report of one day, played now or by an earlier run; None if there is none."""
    variant, site, seed, day = play_key
    report = clone / "target" / f"{Path(site).stem}-{day}-{seed}.json"
    report.parent.mkdir(exist_ok=True)
    if not report.exists():
        command = [player, "run", site, day, "--seed", seed, "--no-cpu", "--report", str(report)]
        command += ["--why", f"Ablation: {variant}"]
        done = subprocess.run(command, cwd=clone, capture_output=True, text=True)
        if not report.exists():
            print(f"no report: {play_key}: {done.stdout[-300:]} {done.stderr[-300:]}", flush=True)
            return None
    return json.loads(report.read_text())


def wasted(report):
    """Return the price of prompts that were read for nothing."""
    return dict((price[0], price[2]) for price in report["prices"]).get(WASTED, 0.0)


def cell(mine, base):
    """Return what one variant is worth at one site, over the days that both have.

    ``mine`` and ``base`` are reports by (seed, day). The spread is the standard deviation of the
    difference between seeds, 0 for one seed.
    """
    both = [key for key in mine if mine[key] and base.get(key)]
    if not both:
        return "not played"
    by_seed = {}
    for key in both:
        by_seed.setdefault(key[0], []).append(mine[key]["G"] - base[key]["G"])
    gaps = [statistics.mean(values) for values in by_seed.values()]
    spread = statistics.stdev(gaps) if len(gaps) > 1 else 0.0
    served = statistics.mean(mine[key]["served"] for key in both)
    lost = statistics.mean(wasted(mine[key]) for key in both)
    broken = sorted({rule for key in both for rule in mine[key]["breaks"]})
    text = f"{statistics.mean(gaps):+.3f} ± {spread:.3f}"
    if mine is base:
        text = f"{statistics.mean(mine[key]['G'] for key in both):.3f}"
    told = f"; broke {', '.join(broken)}" if broken else ""
    return f"{text} (served {served:.3f}, wasted {lost:.3f}, {len(both)} days{told})"


def table(results, sites, variants):
    """Return the table as Markdown: worth of all on, and the difference with each one off."""
    lines = ["| mechanism off | " + " | ".join(Path(site).stem for site in sites) + " |"]
    lines.append("|---" * (len(sites) + 1) + "|")
    for variant in variants:
        cells = [cell(results[variant, site], results[ALL, site]) for site in sites]
        lines.append(f"| {variant} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def main():
    """Play everything and write the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("player")
    parser.add_argument("sites", type=lambda text: text.split(","))
    parser.add_argument("--days", type=lambda text: text.split(","), required=True)
    parser.add_argument("--seeds", type=lambda text: text.split(","), default=["11"])
    parser.add_argument("--only", type=lambda text: text.split(","), default=None)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--out", type=Path, default=Path("bench-results/ablation.md"))
    options = parser.parse_args()
    names = options.only or [field.name for field in dataclasses.fields(Mechanisms)]
    variants = [ALL, *names]
    clones = {variant: make_clone(options.folder, variant) for variant in variants}
    keys = [
        (variant, site, seed, day)
        for seed in options.seeds
        for variant in variants
        for site in options.sites
        for day in options.days
    ]
    for clone in clones.values():
        subprocess.run([options.player, "build"], cwd=clone, check=True, capture_output=True)
    with ThreadPoolExecutor(options.jobs) as pool:
        reports = list(pool.map(lambda key: play(options.player, clones[key[0]], key), keys))
    results = {(variant, site): {} for variant in variants for site in options.sites}
    for (variant, site, seed, day), report in zip(keys, reports, strict=True):
        results[variant, site][seed, day] = report
    text = table(results, options.sites, variants)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    options.out.write_text(text)
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
