"""Plays each mechanism off and writes what it is worth, as a Markdown table.

Usage: tools/ablation.py PLAYER SITE_FILE[,SITE_FILE] --days DAY,DAY --seeds SEED,SEED --out FILE

PLAYER is the users' program that plays a day of a deployment (``run SITE DAY --report F``).
Each variant is played in a scratch clone of this repository whose deployed settings switch one
mechanism off; the clones are made below --folder and keep what the program writes there.
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
    """Play one day; return the report, None if there is none."""
    variant, site, day, seed = play_key
    report = clone / "target" / f"{Path(site).stem}-{day}-{seed}.json"
    report.parent.mkdir(exist_ok=True)
    command = [player, "run", site, day, "--seed", seed, "--no-cpu", "--report", str(report)]
    command += ["--why", f"Ablation: {variant}"]
    done = subprocess.run(command, cwd=clone, capture_output=True, text=True)
    if not report.exists():
        print(f"no report: {play_key}: {done.stdout[-300:]} {done.stderr[-300:]}", flush=True)
        return None
    return json.loads(report.read_text())


def summary(reports):
    """Return (worth, served, price of wasted prefill, broken rules) over the days of a variant."""
    found = [report for report in reports if report]
    if not found:
        return None
    wasted = [dict((p[0], p[2]) for p in r["prices"]).get(WASTED, 0.0) for r in found]
    return (
        statistics.mean(r["G"] for r in found),
        statistics.mean(r["all"]["worth"] for r in found),
        statistics.mean(wasted),
        sorted({rule for r in found for rule in r["breaks"]}),
    )


def seed_spread(by_seed, reference):
    """Return the spread between seeds of the difference to all on: its standard deviation."""
    pairs = [(summary(by_seed[seed]), summary(reference[seed])) for seed in by_seed]
    gaps = [mine[0] - theirs[0] for mine, theirs in pairs if mine and theirs]
    return statistics.stdev(gaps) if len(gaps) > 1 else 0.0


def table(results, sites, variants, seeds):
    """Return the table as Markdown."""
    lines = ["| mechanism off | " + " | ".join(Path(site).stem for site in sites) + " |"]
    lines.append("|---" * (len(sites) + 1) + "|")
    for variant in variants:
        cells = []
        for site in sites:
            by_seed = {s: results.get((variant, site, s), []) for s in seeds}
            whole = summary([r for reports in by_seed.values() for r in reports])
            reference = {s: results.get((ALL, site, s), []) for s in seeds}
            base = summary([r for reports in reference.values() for r in reports])
            if whole is None or base is None:
                cells.append("not played")
                continue
            text = f"{whole[0] - base[0]:+.3f} ± {seed_spread(by_seed, reference):.3f}"
            if variant == ALL:
                text = f"{whole[0]:.3f}"
            cells.append(
                f"{text}; day {whole[1]:.3f}; wasted {whole[2]:.3f}"
                + (f"; broke {', '.join(whole[3])}" if whole[3] else "")
            )
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
        (variant, site, day, seed)
        for variant in variants
        for site in options.sites
        for seed in options.seeds
        for day in options.days
    ]
    for clone in clones.values():
        subprocess.run([options.player, "build"], cwd=clone, check=True, capture_output=True)
    with ThreadPoolExecutor(options.jobs) as pool:
        reports = list(pool.map(lambda key: play(options.player, clones[key[0]], key), keys))
    results = {}
    for (variant, site, _, seed), report in zip(keys, reports, strict=True):
        results.setdefault((variant, site, seed), []).append(report)
    text = table(results, options.sites, variants, options.seeds)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    options.out.write_text(text)
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
