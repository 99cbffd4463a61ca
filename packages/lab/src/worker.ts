import { runBound } from './bound.js'
import type { Figures } from './figures.js'
import { runScenario } from './runScenario.js'
import type { Scenario } from './scenario.js'
import { VARIANTS } from './variants.js'

/** One run of a scenario, as it is sent to a worker thread. */
export interface WorkItem {
  scenario: Scenario
  seed: number
  /** A name in `VARIANTS`, or `bound` for the central queue of `runBound`. */
  variant: string
}

/** Result of a work item. */
export interface WorkResult extends WorkItem {
  figures: Figures
  /** Share of the jobs in time by second of arrival; empty for `bound`. */
  inTimeBySecond: Array<number | null>
  violations: string[]
}

/** Runs one work item; a worker thread calls it as the default export. */
export const runWorkItem = async (item: WorkItem): Promise<WorkResult> => {
  const { scenario, seed, variant } = item
  if (variant === 'bound') return { ...item, figures: await runBound(scenario, seed), inTimeBySecond: [], violations: [] }
  return { ...item, ...await runScenario(scenario, seed, VARIANTS.get(variant)!) }
}

export default runWorkItem
