#!/usr/bin/env python3
"""Makes variants of an operators' site: other names, counts, limits, effects and costs, all of them own values.

    python3 deploy/sites/make.py          # from the repository's root; writes into deploy/sites/made, which git ignores

Each variant is the operators' file with the keys below set to the values below, and the content types replaced as a
whole. A key that the file no longer has ends this with one line, so that a variant never plays as less than it says.
"""
import pathlib
import re
import shutil
import sys

HERE = pathlib.Path(__file__).resolve().parent
GIVEN = HERE.parent.parent.parent / "given" / "kit" / "sites"
SITE = "case-cache.toml"
# What the bench looks for beside a site.
BESIDE = ["wire.json", "real.json", "design.json", "unlock.txt"]

VARIANTS = {
    # Four content types, one of them deduped with a short window, and shorter deadlines throughout.
    "press-line": {
        "set": {
            "name": '"press-line"',
            "scale.servers": "[12, 16]",
            "scale.balancers": "[4, 6]",
            "load.quiet": "[0.3, 0.45]",
            "net.zones": '["harbour", "mill"]',
            "clients.retries": "[0, 1.99]",
            "clients.impatient": "[0.02, 0.05]",
            "clients.max_retry_after_ms": "900",
            "allow.max_attempts": "4",
            "rules.drain_grace_ms": "400",
            "rules.fall_multiple": "3",
            "goal.whole": "0.4",
            "goal.worst_window": "0.2",
            "goal.worst_class": "0.4",
            "prices.waste": "0.12",
            "prices.late_fail": "0.06",
            "prices.origin": "0.09",
            "tier.conn.streams": "20",
            "tier.conn.idle_s": "9",
            "tier.conn.connect_timeout_ms": "700",
            "fam.purges": "0.6",
            "fam.fill_retries": "0",
        },
        "classes": [
            {"name": "plate", "share": "[2.5, 3.5]", "work_ms": "[180, 260]", "aim_ms": "350", "deadline_ms": "2200",
             "worth": "3", "late_worth": "0.1", "effect": "safe", "aim_stretch": "1.8",
             "fam": {"size_sigma": "[0.6, 1.1]", "zipf": "[0.9, 1.05]", "hits": "[0.7, 0.78]", "once": "[0.01, 0.04]",
                     "local": "[0.1, 0.2]", "fresh_s": "30", "grace_s": "15", "stale_worth": "0.6"}},
            {"name": "proof", "share": "[2, 3]", "work_ms": "[60, 120]", "aim_ms": "250", "deadline_ms": "1500",
             "worth": "1", "late_worth": "0.3", "effect": "safe", "aim_stretch": "2",
             "fam": {"size_sigma": "[0.7, 1.2]", "zipf": "[0.9, 1.1]", "hits": "[0.66, 0.76]", "once": "[0.02, 0.04]",
                     "local": "[0.1, 0.3]"}},
            {"name": "proof-thumb", "share": "[3, 4]", "work_ms": "[15, 30]", "aim_ms": "150", "deadline_ms": "1200",
             "worth": "0.5", "late_worth": "0", "effect": "safe", "aim_stretch": "2",
             "fam": {"size_sigma": "[0.5, 0.9]", "zipf": "[1, 1.1]", "hits": "[0.7, 0.8]", "once": "[0.01, 0.03]",
                     "local": "[0.05, 0.2]"}},
            {"name": "order-line", "share": "[0.5, 0.8]", "work_ms": "[10, 25]", "aim_ms": "500", "deadline_ms": "1800",
             "worth": "5", "late_worth": "0", "effect": "keyed", "group": "all", "window_ms": "1200", "write": "true",
             "fam": {"parts": "1"}},
        ],
    },
    # Two content types, few large objects, long deadlines, a fleet of few routers with a thin link.
    "survey-maps": {
        "set": {
            "name": '"survey-maps"',
            "scale.servers": "[8, 10]",
            "scale.balancers": "[3, 4]",
            "load.quiet": "[0.4, 0.6]",
            "net.zones": '["ridge", "delta", "coast", "fen"]',
            "clients.retries": "[0, 0.99]",
            "clients.try_share": "[0.8, 1]",
            "allow.max_attempts": "3",
            "rules.drain_grace_ms": "250",
            "rules.fall_multiple": "2.5",
            "goal.whole": "0.5",
            "goal.worst_window": "0.2",
            "goal.worst_class": "0.2",
            "goal.worst_tenant": "0.1",
            "prices.cross_zone": "0.03",
            "prices.waste": "0.03",
            "prices.probe": "0.05",
            "tier.conn.streams": "6",
            "fam.link_room": "[1, 1.2]",
            "fam.fill_retries": "2",
        },
        "classes": [
            {"name": "tile", "share": "[5, 7]", "work_ms": "[250, 420]", "aim_ms": "600", "deadline_ms": "6000",
             "worth": "1", "late_worth": "0.3", "effect": "safe", "aim_stretch": "1.5",
             "fam": {"size_sigma": "[1, 1.5]", "zipf": "[0.9, 1.05]", "hits": "[0.6, 0.7]", "once": "[0.03, 0.06]",
                     "local": "[0.2, 0.4]"}},
            {"name": "claim", "share": "[0.4, 0.6]", "work_ms": "[20, 40]", "aim_ms": "800", "deadline_ms": "4000",
             "worth": "6", "late_worth": "0.1", "effect": "unsafe", "write": "true", "fam": {"parts": "1"}},
        ],
        # One keeps to its share, the other asks for up to twice as much.
        "tenants": [
            {"name": "county", "share": "2", "usage": "[0.7, 1]"},
            {"name": "survey-crew", "share": "1", "usage": "[1.4, 2]"},
        ],
    },
}


def fail(why):
    sys.exit(f"make.py: {why}")


def set_key(lines, path, value):
    """The first key of that name in the first section of that name; a path of one word stands before all sections."""
    *section, key = path.split(".")
    inside = not section
    for at, line in enumerate(lines):
        head = re.match(r"\[+([\w.]+)\]+", line)
        if head:
            inside = head.group(1) == ".".join(section)
        elif inside and re.match(rf"{key}\s*=", line):
            lines[at] = f"{key} = {value}"
            return
    fail(f"key {path} is not in {GIVEN / SITE}")


def without_classes(lines):
    left, skips = [], False
    for line in lines:
        if line.startswith("["):
            skips = line in ("[[class]]", "[[fam.class]]")
        if not skips:
            left.append(line)
    return left


def block(head, values):
    words = ("name", "effect", "group")
    return [head, *(f'{k} = "{v}"' if k in words else f"{k} = {v}" for k, v in values.items()), ""]


def blocks(variant):
    """Content types and tenants, and what of them belongs to the family, which has to follow its section."""
    own, fam = [], []
    for entry in variant["classes"]:
        values = {k: v for k, v in entry.items() if k != "fam"}
        own += block("[[class]]", {"attempt_noise": "[0.05, 0.15]", **values})
        fam += block("[[fam.class]]", entry["fam"])
    for entry in variant.get("tenants", []):
        own += block("[[tenant]]", entry)
    return own, fam


def make(name, variant, text):
    lines = without_classes(text.splitlines())
    for path, value in variant["set"].items():
        set_key(lines, path, value)
    own, fam = blocks(variant)
    if "[fam]" not in lines:
        fail(f"key fam is not in {GIVEN / SITE}")
    at = lines.index("[fam]")
    end = next((n for n in range(at + 1, len(lines)) if lines[n].startswith("[")), len(lines))
    lines = lines[:at] + own + lines[at:end] + fam + lines[end:]
    (HERE / "made" / f"{name}.toml").write_text("\n".join(lines) + "\n")


def main():
    site = GIVEN / SITE
    for file in [site, *(GIVEN / beside for beside in BESIDE)]:
        if not file.is_file():
            fail(f"{file} is missing")
    (HERE / "made").mkdir(exist_ok=True)
    for beside in BESIDE:
        target = HERE / "made" / beside
        target.unlink(missing_ok=True)
        shutil.copyfile(GIVEN / beside, target)
    for name, variant in VARIANTS.items():
        make(name, variant, site.read_text())
    print(f"{', '.join(VARIANTS)}: in {HERE / 'made'}")


if __name__ == "__main__":
    main()
