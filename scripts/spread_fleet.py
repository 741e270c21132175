#!/usr/bin/env python3
"""Measures configuration spread over a fleet of entry processes on loopback.

Starts a platform and entries, puts edits of documents in force one after the
other, and prints as JSON how long each took until it was in force at every
entry, and what the entries sent and received while idle and while editing.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "testing" / "tools"))

import fleet as fleet_tools  # noqa: E402

COUNTERS = (
    "mesh_bytes_sent",
    "mesh_bytes_received",
    "frames_sent",
    "platform_calls",
)


def document(team, size, version):
    text = (
        f"[service]\nteam = {team}\nbase_model = base-1\nobjective = stalls\n"
        "[kind counter]\nurgency = urgent\ndeadline_ms = 10000\n"
        f"[adapter silk]\nversions = {version}\n"
    )
    line = "; " + "x" * 97 + "\n"
    while len(text) + len(line) <= size:
        text += line
    return text


# Edits documents and measures how they spread to the entries. `pool` needs a
# thread for each entry.
class Measurement:
    def __init__(self, fleet, entries, pool):
        self.fleet = fleet
        self.entries = entries
        self.pool = pool

    def dumps(self):
        return list(self.pool.map(lambda node: node.dump(), self.entries))

    def counters(self):
        dumps = self.dumps()
        return {
            name: sum(dump["counters"][name] for dump in dumps)
            for name in COUNTERS
        }

    # Returns the increase of each counter per entry and second.
    def rates(self, before, after, seconds):
        count = len(self.entries)
        return {
            name: round((after[name] - before[name]) / seconds / count, 2)
            for name in COUNTERS
        }

    def idle(self, seconds):
        before = self.counters()
        start = time.monotonic()
        time.sleep(seconds)
        return self.rates(before, self.counters(), time.monotonic() - start)

    def revision(self, node, team):
        return node.dump()["documents"].get(team, {}).get("revision", 0)

    def edit(self, team, size, version):
        """Returns the seconds until the edit is in force at every entry."""
        start = time.monotonic()
        stats = self.fleet.control(
            self.fleet.platform,
            {
                "put_documents": [
                    {"team": team, "text": document(team, size, version)}
                ]
            },
        )
        new_revision = stats["documents_revision"]
        done = {}

        def poll(node):
            while self.revision(node, team) < new_revision:
                if time.monotonic() - start > 30:
                    raise RuntimeError(f"{node.instance} did not get the edit")
                time.sleep(0.005)
            done[node.instance] = time.monotonic() - start

        list(self.pool.map(poll, self.entries))
        return max(done.values())

    def edits(self, count, interval_s, size):
        before = self.counters()
        begin = time.monotonic()
        times = []
        for number in range(count):
            times.append(self.edit(f"team-{number % 3}", size, number + 2))
            time.sleep(max(0, begin + (number + 1) * interval_s - time.monotonic()))
        seconds = time.monotonic() - begin
        after = self.counters()
        return {
            "size": size,
            "edits": count,
            "median_s": round(statistics.median(times), 3),
            "max_s": round(max(times), 3),
            "per_entry_per_s": self.rates(before, after, seconds),
            "platform_calls_per_change": (
                after["platform_calls"] - before["platform_calls"]
            )
            / count,
        }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=40)
    parser.add_argument("--data-centres", type=int, default=8)
    parser.add_argument("--edits", type=int, default=8)
    parser.add_argument("--interval-s", type=float, default=2.0)
    parser.add_argument("--sizes", default="1024,16384")
    parser.add_argument("--idle-s", type=float, default=15)
    options = parser.parse_args()
    if not 1 <= options.entries <= 100:
        parser.error("--entries must be 1 to 100")
    with tempfile.TemporaryDirectory() as folder, fleet_tools.Fleet(
        fleet_tools.default_build(), folder
    ) as fleet, concurrent.futures.ThreadPoolExecutor(options.entries) as pool:
        fleet.start_platform()
        fleet.put_document("team-0", document("team-0", 1024, 1))
        entries = [
            fleet.add_entry(
                f"entry-{number:02}", f"dc-{number % options.data_centres}"
            )
            for number in range(options.entries)
        ]
        measurement = Measurement(fleet, entries, pool)

        def settled():
            dumps = measurement.dumps()
            return (
                len({dump["instances_revision"] for dump in dumps}) == 1
                and all(dump["mesh"]["platform_age_ms"] is not None for dump in dumps)
                and sum(dump["reads_platform"] for dump in dumps)
                <= 2 * options.data_centres
            )

        fleet.wait_until(settled, "only the readers poll the platform", 60)
        result = {
            "entries": options.entries,
            "data_centres": options.data_centres,
            "readers": sum(d["reads_platform"] for d in measurement.dumps()),
            "idle_per_entry_per_s": measurement.idle(options.idle_s),
            "editing": [
                measurement.edits(options.edits, options.interval_s, int(size))
                for size in options.sizes.split(",")
            ],
            "links": statistics.mean(
                len(dump["mesh"]["links"]) for dump in measurement.dumps()
            ),
            "full_requests": sum(
                dump["mesh"]["full_requests"] for dump in measurement.dumps()
            ),
            "platform": fleet_tools.request(
                fleet.platform, "GET", "/_stats"
            ).json(),
        }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
