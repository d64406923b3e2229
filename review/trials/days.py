#!/usr/bin/env python3
"""Draws harsh days for the bench and plays them. Usage: days.py BENCH SITE FIRST COUNT JOBS OUT; BENCH is the program that plays days

A day has 7 to 13 entries that overlap, of the kinds and variants that the sites, `fleetbench kinds`
or the pages name, at no more than their largest dose there. Prints a line for each day.
"""
import random, subprocess, sys, pathlib, re
from concurrent.futures import ThreadPoolExecutor

FAULTS = [
    lambda r: dict(kind="answer_lost", share=0.45, x=0.025, for_s=5.5),
    lambda r: dict(kind="answer_lost", how="reset", share=0.5, x=0.05, for_s=4.0),
    lambda r: dict(kind="burst", x=1.7, for_s=3.0),
    lambda r: dict(kind="clock_step", share=0.28, x=2400.0, for_s=6.0, how=r.choice(["back", "ahead"])),
    lambda r: dict(kind="cold_return", for_s=4.5, how=r.choice(["", "dark"])),
    lambda r: dict(kind="core_cut", count=1, for_s=5.5, how=r.choice(["reset", "refuse", "leader race", "reader", ""])),
    lambda r: dict(kind="node_kill", on="core", count=1, for_s=3.5, how=r.choice(["seed", "leader", "leader race drain", "meet drain", "reader"])),
    lambda r: dict(kind="garble", share=0.35, x=0.02, for_s=5.5, how=r.choice(["extra", "unframed", "early", ""])),
    lambda r: dict(kind="garble", how="extra late", share=0.6, x=0.03, for_s=5.0),
    lambda r: dict(kind="give_up", share=0.2, for_s=5.5),
    lambda r: dict(kind="herd_kill", share=0.55, for_s=2.0, how=r.choice(["power", ""])),
    lambda r: dict(kind="lossy", x=0.025, for_s=5.5),
    lambda r: dict(kind="node_cut", share=0.17, for_s=5.5, how=r.choice(["", "all", "servers"])),
    lambda r: dict(kind="node_cut", share=0.6, for_s=8.0, how=r.choice(["stranded most", "stranded zone reset", "stranded"])),
    lambda r: dict(kind="node_freeze", share=0.3, for_s=r.choice([2.0, 3.5]), how=r.choice(["", "renewed"])),
    lambda r: dict(kind="node_slow", share=0.15, x=5.5, for_s=5.5),
    lambda r: dict(kind="platform_compact", x=5.5, for_s=12.0, how="drain"),
    lambda r: dict(kind="platform_down", for_s=4.5, how=r.choice(["busy", "reset", "silent", "silent lapse"])),
    lambda r: dict(kind="platform_down", how=r.choice(["nodes many revoke meet", "nodes busy revoke", "nodes reset", "nodes"]), share=0.33, for_s=9.0),
    lambda r: dict(kind="platform_down", how=r.choice(["restored", "restored silent"]), x=r.choice([3.0, 7.0]), for_s=r.choice([1.0, 3.0])),
    lambda r: dict(kind="platform_lost", x=0.35, for_s=4.5, how=r.choice(["", "late"])),
    lambda r: dict(kind="platform_slow", x=60.0, for_s=4.5),
    lambda r: dict(kind="reset_conns", share=0.35, x=0.55),
    lambda r: dict(kind="retry_abuse", x=3.0, share=0.3, for_s=5.5),
    lambda r: dict(kind="shift", share=0.5, for_s=6.5),
    lambda r: dict(kind="srv_crash", share=0.14, for_s=4.5, how=r.choice(["", "dark", "gone"])),
    lambda r: dict(kind="srv_slow", share=0.16, x=5.0, for_s=6.5),
    lambda r: dict(kind="zone_loss", for_s=5.5),
    lambda r: dict(kind="zone_cut", for_s=3.0),
    lambda r: dict(kind="after_ack_kill", for_s=3.0, how="kill"),
    lambda r: dict(kind="poison", how="deadly", **{"class": "@c0"}, share=0.03, for_s=12.0),
]
# Of the grown sites only; the drill is left out there, since case 4 breaks rules by itself.
GROWN = [
    lambda r: dict(kind="idle_race", share=0.5, x=320.0, for_s=6.5),
    lambda r: dict(kind="srv_flap", share=0.1, gap_s=1.4, for_s=6.5),
    lambda r: dict(kind="srv_grey", share=0.14, for_s=6.5, how="errors one_zone", x=0.45),
    lambda r: dict(kind="srv_lying_health", share=0.1, for_s=6.5, how="bad"),
    lambda r: dict(kind="node_kill", share=0.16, for_s=3.5),
    lambda r: dict(kind="config_storm", for_s=4.0, gap_s=0.33),
]
PLAN = [
    lambda r: dict(kind="config_change", how=r.choice(["route", "weights", "timeout", "idle"])),
    lambda r: dict(kind="config_change", how=r.choice(["route", "weights", "timeout", "idle"])),
    lambda r: dict(kind="big_config", count=350),
    lambda r: dict(kind="evacuate", for_s=8.0, how=r.choice(["", "warm"])),
    lambda r: dict(kind="hup", share=0.6, gap_s=2.0),
    lambda r: dict(kind="release", share=0.45, x=1.0, gap_s=1.0),
    lambda r: dict(kind="replace_with_reuse", share=0.18, how=r.choice(["", "drain", "dark"])),
    lambda r: dict(kind="roll_term", share=0.45, x=1.0, gap_s=1.3),
    lambda r: dict(kind="roll_term", how="busy", gap_s=1.0),
    lambda r: dict(kind="scale_in", share=0.13, how=r.choice(["", "spot"])),
    lambda r: dict(kind="scale_out", share=0.25, gap_s=2.0),
]


def text(value):
    return f'"{value}"' if isinstance(value, str) else repr(value)


def day(seed, grown):
    r = random.Random(seed)
    kinds_of_faults = FAULTS
    if grown:
        kinds_of_faults = [k for k in FAULTS if "restored" not in str(k(random.Random(0)))] + GROWN * 2
    lines = {"faults": [], "plan": []}
    if r.random() < 0.5:  # Close together: one follows within a second or two of the one before.
        at = r.uniform(4, 12)
        times = [at := at + r.expovariate(0.7) for _ in range(r.randint(7, 13))]
    else:
        times = sorted(r.uniform(2, 30) for _ in range(r.randint(7, 13)))
    for at in times:
        name, kinds = ("plan", PLAN) if r.random() < 0.35 else ("faults", kinds_of_faults)
        entry = dict(at=round(min(at, 34), 2), **r.choice(kinds)(r))
        if entry.get("how") == "":
            del entry["how"]
        lines[name].append("  { " + ", ".join(f"{k} = {text(v)}" for k, v in entry.items()) + " },")
    out = f'name = "harsh-{seed}"\nlength_s = 40\n'
    for name, entries in lines.items():
        out += f"{name} = [\n" + "\n".join(entries) + "\n]\n"
    if r.random() < 0.3:
        out += 'closing = { kind = "%s", down_s = 2.0 }\n' % r.choice(["kill_all", "power_off_all"])
    return out


def play(bench, site, seed, folder):
    path = folder / f"harsh-{seed}.toml"
    path.write_text(day(seed, "grown" in site))
    done = subprocess.run([bench, "run", site, str(path), "--seed", str(seed),
                           "--jobs", "1", "--report", str(folder / f"{seed}.json"),
                           "--why", "review: a harsh day of our own"], capture_output=True, text=True)
    output = done.stdout + done.stderr
    (folder / f"{seed}.out").write_text(output)
    broken = sorted(set(re.findall(r"\b(?:MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|FAILBACK|"
                                   r"SHIFT|HOME|EVAC|RECOVER|LIMIT|fault|refused to)\b", output)))
    return f"{seed} rc={done.returncode} {' '.join(broken)} | {output.strip().splitlines()[-1][:150] if output.strip() else ''}"


if __name__ == "__main__":
    bench, site, out = sys.argv[1], sys.argv[2], pathlib.Path(sys.argv[6])
    first, count, jobs = (int(word) for word in sys.argv[3:6])
    out.mkdir(parents=True, exist_ok=True)
    with ThreadPoolExecutor(jobs) as pool:
        for line in pool.map(lambda s: play(bench, site, s, out), range(first, first + count)):
            print(line, flush=True)
