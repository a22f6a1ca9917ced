"""Plots the share of requests answered in time by second of arrival, as SVG. The input is the
--json output of experiment.py.

  scripts/plot_seconds.py RESULT.json OUTPUT.svg TITLE
"""

import json
import sys

WIDTH, HEIGHT, LEFT, TOP, BOTTOM = 720, 300, 50, 30, 40
COLOURS = {"baseline": "#b5523b", "now": "#2b6cb0"}


def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        rows = json.load(file)
    seconds = max(len(row["seconds"]) for row in rows) - 1
    def x(second):
        return LEFT + second * (WIDTH - LEFT - 20) / max(1, seconds - 1)
    def y(percent):
        return TOP + (100 - percent) * (HEIGHT - TOP - BOTTOM) / 100
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
           'font-family="sans-serif" font-size="12">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
           f'<text x="{LEFT}" y="18">{sys.argv[3]}</text>']
    for percent in (0, 25, 50, 75, 100):
        out.append(f'<line x1="{LEFT}" x2="{WIDTH - 20}" y1="{y(percent):.0f}" '
                   f'y2="{y(percent):.0f}" stroke="#ddd"/>')
        out.append(f'<text x="8" y="{y(percent) + 4:.0f}">{percent} %</text>')
    for second in range(0, seconds, 3):
        out.append(f'<text x="{x(second) - 4:.0f}" y="{HEIGHT - 20}">{second}</text>')
    out.append(f'<text x="{WIDTH - 150}" y="{HEIGHT - 4}">second of arrival</text>')
    for row in rows:
        points = " ".join(f"{x(i):.1f},{y(100 * s[1] / max(1, s[0])):.1f}"
                          for i, s in enumerate(row["seconds"][:seconds]))
        out.append(f'<polyline points="{points}" fill="none" stroke="{COLOURS[row["policy"]]}" '
                   'stroke-width="2"/>')
    for i, (policy, colour) in enumerate(COLOURS.items()):
        out.append(f'<text x="{WIDTH - 90}" y="{TOP + 100 + 16 * i}" '
                   f'fill="{colour}">{policy}</text>')
    out.append("</svg>")
    with open(sys.argv[2], "w", encoding="utf-8") as file:
        file.write("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
