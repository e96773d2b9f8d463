"""
Plots the results of the experiments as PNG files: `python -m millfork_standins.bench.plots`.

"""

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot

from millfork_core.status import ExitStatus
from millfork_standins.bench.results import RESULTS_FOLDER


def plot(path: Path) -> Path:
    """
    Plot the results file of one experiment and return the path of the image. The image has a panel
    for each metric. A panel has a bar for the median of each case, with an error bar from the
    lowest to the highest value.

    """
    rows: list[dict[str, Any]] = json.loads(path.read_text())['rows']
    metrics = list(dict.fromkeys(row['metric'] for row in rows))
    max_cases = max(sum(row['metric'] == metric for row in rows) for metric in metrics)
    figure, panels = pyplot.subplots(
        len(metrics), 1, figsize=(9, len(metrics) * (1 + 0.25 * max_cases)), squeeze=False
    )
    for panel, metric in zip(panels[:, 0], metrics, strict=True):
        metric_rows = [row for row in rows if row['metric'] == metric]
        values = [row['value'] for row in metric_rows]
        errors_below = [row['value'] - row['least'] for row in metric_rows]
        errors_above = [row['most'] - row['value'] for row in metric_rows]
        panel.barh(
            [row['case'] for row in metric_rows],
            values,
            xerr=[errors_below, errors_above],
            capsize=2,
        )
        panel.invert_yaxis()
        panel.set_title(f'{path.stem}: {metric} ({metric_rows[0]["unit"]})', fontsize=9)
        panel.tick_params(labelsize=7)
    figure.tight_layout()
    image_path = path.with_suffix('.png')
    figure.savefig(image_path, dpi=90)
    pyplot.close(figure)
    return image_path


def main() -> int:
    paths = sorted(RESULTS_FOLDER.glob('*.json'))
    if not paths:
        print(f'no files in {RESULTS_FOLDER}; run the experiments first', file=sys.stderr)
        return ExitStatus.ERROR
    for path in paths:
        print(plot(path))
    return ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
