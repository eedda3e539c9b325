"""Measures the effect of switching off each routing mechanism; writes a Markdown table.

Usage: tools/ablation.py PLAYER SITE_FILE[,SITE_FILE] --days DAY,DAY --seeds SEED,SEED --out FILE

PLAYER is an external program that simulates one day of a deployment (``run SITE DAY --report F``).
Each variant runs in its own clone of this repository, in which deploy/router.ini switches one
mechanism off. The clones are created below --folder and keep the program's output, so that an
interrupted ablation resumes with the missing runs. Use a new folder after a change of the code.
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
BASELINE = "all on"
WASTED_PREFILL = "1,000 tokens read for nothing"


def make_clone(folder, variant):
    """Return a clone of the last commit in which the variant's mechanism is switched off."""
    clone = folder / variant.replace(" ", "-")
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    template = clone / "deploy" / "router.ini"
    if variant != BASELINE and "[mechanisms]" not in template.read_text():
        template.write_text(f"{template.read_text()}\n[mechanisms]\n{variant} = no\n")
    return clone


def run_day(player, clone, run_key):
    """Return the report of one day, from an earlier run if it exists; None if the run failed."""
    variant, site, seed, day = run_key
    report = clone / "target" / f"{Path(site).stem}-{day}-{seed}.json"
    report.parent.mkdir(exist_ok=True)
    if not report.exists():
        command = [player, "run", site, day, "--seed", seed, "--no-cpu", "--report", str(report)]
        command += ["--why", f"Ablation: {variant}"]
        result = subprocess.run(command, cwd=clone, capture_output=True, text=True)
        if not report.exists():
            print(
                f"no report for {run_key}: {result.stdout[-300:]} {result.stderr[-300:]}",
                flush=True,
            )
            return None
    return json.loads(report.read_text())


def wasted_prefill_cost(report):
    """Return the cost of prompts that were prefilled in vain, from the report's price list."""
    return dict((price[0], price[2]) for price in report["prices"]).get(WASTED_PREFILL, 0.0)


def format_cell(reports, baseline):
    """Return the table cell of one variant at one site, over the days that both variants have.

    ``reports`` and ``baseline`` are reports by (seed, day). The spread is the standard deviation
    of the score difference across seeds, 0 for one seed.
    """
    shared_keys = [key for key in reports if reports[key] and baseline.get(key)]
    if not shared_keys:
        return "not run"
    by_seed = {}
    for key in shared_keys:
        by_seed.setdefault(key[0], []).append(reports[key]["G"] - baseline[key]["G"])
    differences = [statistics.mean(values) for values in by_seed.values()]
    spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
    served = statistics.mean(reports[key]["served"] for key in shared_keys)
    wasted = statistics.mean(wasted_prefill_cost(reports[key]) for key in shared_keys)
    violated_rules = sorted({rule for key in shared_keys for rule in reports[key]["breaks"]})
    text = f"{statistics.mean(differences):+.3f} ± {spread:.3f}"
    if reports is baseline:
        text = f"{statistics.mean(reports[key]['G'] for key in shared_keys):.3f}"
    violations = f"; violated {', '.join(violated_rules)}" if violated_rules else ""
    return f"{text} (served {served:.3f}, wasted {wasted:.3f}, {len(shared_keys)} days{violations})"


def format_table(results, sites, variants):
    """Return the Markdown table: the score with all on, and the difference with each one off."""
    lines = ["| mechanism off | " + " | ".join(Path(site).stem for site in sites) + " |"]
    lines.append("|---" * (len(sites) + 1) + "|")
    for variant in variants:
        cells = [format_cell(results[variant, site], results[BASELINE, site]) for site in sites]
        lines.append(f"| {variant} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def main():
    """Run all variants and write the table."""
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
    variants = [BASELINE, *names]
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
        reports = list(pool.map(lambda key: run_day(options.player, clones[key[0]], key), keys))
    results = {(variant, site): {} for variant in variants for site in options.sites}
    for (variant, site, seed, day), report in zip(keys, reports, strict=True):
        results[variant, site][seed, day] = report
    text = format_table(results, options.sites, variants)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    options.out.write_text(text)
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
