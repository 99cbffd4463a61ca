import { runBound } from './bound.js'
import type { Figures } from './figures.js'
import { runScenario } from './runScenario.js'
import type { Scenario } from './scenario.js'
import { VARIANTS } from './variants.js'

/** One run, as a worker thread gets it. */
export interface WorkItem {
  scenario: Scenario
  seed: number
  /** A name in `VARIANTS`, or `bound`. */
  variant: string
}

/** Its result. */
export interface WorkResult extends WorkItem {
  figures: Figures
  inTimeBySecond: Array<number | null>
  violations: string[]
}

/** Plays one run; the entry of a worker thread. */
export const runWorkItem = async (item: WorkItem): Promise<WorkResult> => {
  const { scenario, seed, variant } = item
  if (variant === 'bound') return { ...item, figures: await runBound(scenario, seed), inTimeBySecond: [], violations: [] }
  return { ...item, ...await runScenario(scenario, seed, VARIANTS.get(variant)!) }
}

export default runWorkItem
