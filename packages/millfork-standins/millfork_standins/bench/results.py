"""
Results of an experiment: samples, their medians, a printed table and a JSON file.

"""

import json
import statistics
from collections import defaultdict
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

RESULTS_FOLDER: Final = Path('build/bench')


@dataclass(frozen=True, slots=True)
class Row:
    """
    One metric of a case: the median (`value`), the lowest and the highest sample, and the ratio of
    the median to the median of the baseline case (0 if there is no baseline, or if its median is
    0).

    """

    experiment: str
    case: str
    metric: str
    value: float
    unit: str
    least: float
    most: float
    repetitions: int
    baseline: str = ''
    baseline_value: float = 0.0
    ratio: float = 0.0


class ExperimentResults:
    """
    Collects the samples of one experiment and writes a summary.

    """

    def __init__(self, experiment: str, settings: dict[str, Any]) -> None:
        self.experiment = experiment
        self.settings = settings
        self.samples: dict[tuple[str, str, str], list[float]] = defaultdict(list)
        self.baselines: dict[tuple[str, str], str] = {}

    def add(self, case: str, metric: str, unit: str, value: float, baseline: str = '') -> None:
        """
        Add one sample. `baseline` is the name of the case to compare with; empty for none.

        """
        self.samples[(case, metric, unit)].append(value)
        if baseline:
            self.baselines[(case, metric)] = baseline

    def rows(self) -> list[Row]:
        medians = {
            (case, metric): statistics.median(values)
            for (case, metric, _), values in self.samples.items()
        }
        result_rows = []
        for (case, metric, unit), values in self.samples.items():
            median = medians[(case, metric)]
            baseline = self.baselines.get((case, metric), '')
            baseline_median = medians.get((baseline, metric), 0.0)
            result_rows.append(
                Row(
                    self.experiment,
                    case,
                    metric,
                    round(median, 6),
                    unit,
                    round(min(values), 6),
                    round(max(values), 6),
                    len(values),
                    baseline,
                    round(baseline_median, 6),
                    round(median / baseline_median, 4) if baseline_median else 0.0,
                )
            )
        return result_rows

    def write(self) -> Path:
        """
        Write the rows to a JSON file and print them as a table. Returns the path of the file.

        """
        rows = self.rows()
        RESULTS_FOLDER.mkdir(parents=True, exist_ok=True)
        path = RESULTS_FOLDER / f'{self.experiment}.json'
        content = {'settings': self.settings, 'rows': [asdict(row) for row in rows]}
        path.write_text(json.dumps(content, indent=1) + '\n')
        print(f'\n{self.experiment} ({self.settings})')
        print(f'{"case":34} {"metric":26} {"median":>11} {"least":>11} {"most":>11}  unit')
        for row in rows:
            ratio = f'  {row.ratio:.3f} x {row.baseline}' if row.baseline else ''
            print(
                f'{row.case:34} {row.metric:26} {row.value:11.4g} {row.least:11.4g} '
                f'{row.most:11.4g}  {row.unit}{ratio}'
            )
        return path
