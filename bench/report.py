"""Prints figures and draws latency curves."""
import math

COLOURS = ["#1b6ca8", "#c0392b", "#27872f", "#8e44ad", "#b9770e", "#34495e"]


def print_run(result):
    print(f"{result['deployment']} {result['scenario']} seed {result['seed']} settings {result['settings']} "
          f"load average {result['load_average'][0]:.1f} to {result['load_average'][1]:.1f} {result['notes']}")
    print(f"{'flow':16} {'tenant':9} {'count':>6} {'p50':>7} {'p99':>7} {'p99.9':>7} {'cover':>7} {'whole':>7}  statuses")
    for flow in result["flows"]:
        ran = max(1, flow["all"]["count"] - flow["refused"]["count"])
        latency = flow["answered"]
        print(f"{flow['name']:16} {flow['tenant']:9} {flow['all']['count']:6} {latency['p50_ms']:7.1f} "
              f"{latency['p99_ms']:7.1f} {latency['p99_9_ms']:7.1f} {flow['coverage']:7.4f} "
              f"{flow['statuses'].get('complete', 0) / ran:7.4f}  {flow['statuses']}"
              + (f" refused p99 {flow['refused']['p99_ms']:.1f} ms" if flow["refused"]["count"] else ""))
    leaves = result["leaves"]
    print(f"extra load {100 * result['extra_load']:.2f}% (executed over least {result['executions_over_least']:.3f}), "
          f"connections at most {leaves['max_connections']} of {leaves['limit']} at {leaves['max_connections_leaf']}, "
          f"refused {leaves['connection_refusals']}, new {leaves['new_connections_per_s_per_leaf']:.3f}/s a leaf, "
          f"entry CPU {result['entry_cpu_ms_per_execution']:.2f} ms an execution")
    print(f"refusals checked {result['refusals']['checked']}, untrue {result['refusals']['untrue_count']}, "
          f"not idempotent ran twice {result['repeated_not_idempotent']}, generator late p99 "
          f"{result['generator_lateness']['p99_ms']:.1f} ms, sent to another instance {result['repeats']}", flush=True)


def runs_in(result):
    """Every single run in a result."""
    if isinstance(result, dict) and "flows" in result:
        yield f"{result['scenario']} {result['settings'] or ''}", result
    elif isinstance(result, dict):
        for value in result.values():
            yield from runs_in(value)
    elif isinstance(result, list):
        for value in result:
            yield from runs_in(value)


def write_svg(path, result):
    """Latency by percentile, one curve for each flow of each run."""
    width, height, left, bottom = 900, 480, 60, 420
    curves = [(f"{name} {flow['name']}", flow["answered"]["curve"]) for name, run in runs_in(result)
              for flow in run["flows"] if flow["answered"]["count"]]
    highest = max([y for _, curve in curves for _, y in curve] + [1])
    lowest = 1.0

    def place(fraction, latency):
        nines = min(4.0, -math.log10(max(1e-4, 1 - fraction)))
        share = math.log(max(lowest, latency) / lowest) / math.log(max(2, highest) / lowest)
        return left + nines / 4 * 600, bottom - share * 380

    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" '
           f'font-size="11"><rect width="{width}" height="{height}" fill="white"/>']
    for fraction in (0, 0.9, 0.99, 0.999, 0.9999):
        x, _ = place(fraction, 1)
        out.append(f'<line x1="{x}" y1="40" x2="{x}" y2="{bottom}" stroke="#ddd"/>'
                   f'<text x="{x}" y="{bottom + 16}" text-anchor="middle">{100 * fraction:g}%</text>')
    latency = lowest
    while latency <= highest:
        _, y = place(0, latency)
        out.append(f'<line x1="{left}" y1="{y}" x2="660" y2="{y}" stroke="#ddd"/>'
                   f'<text x="{left - 6}" y="{y + 4}" text-anchor="end">{latency:g} ms</text>')
        latency *= 10
    for i, (name, curve) in enumerate(curves):
        colour = COLOURS[i % len(COLOURS)]
        points = " ".join("{:.1f},{:.1f}".format(*place(x, y)) for x, y in curve)
        out.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5"/>'
                   f'<text x="670" y="{50 + 14 * i}" fill="{colour}">{name.replace("<", "")}</text>')
    out.append("</svg>")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(out))
