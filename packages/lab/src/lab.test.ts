import { POLICY } from '@hazellift/decisions'
import { describe, expect, it } from 'vitest'
import { runBound } from './bound.js'
import { drawScenario } from './drawScenario.js'
import { runScenario } from './runScenario.js'
import { ScenarioError, checkScenario, readScenario } from './scenario.js'
import type { Scenario } from './scenario.js'
import { estimate, estimateDifference } from './statistics.js'
import { drawTraffic } from './traffic.js'
import { VARIANTS } from './variants.js'

const scenarioOf = (name: string): Scenario => readScenario(new URL(`../scenarios/${name}.toml`, import.meta.url).pathname)

describe('decisions under replayed loads', () => {
  // Each bound lies between what the code did before the change that it guards, and what it does since.
  const cases: Array<{ name: string, seed: number, figure: 'inTime' | 'worth' | 'worstKind' | 'worstWindows', atLeast: number }> = [
    { name: 'lost-orders', seed: 1, figure: 'inTime', atLeast: 0.96 },
    { name: 'lost-orders', seed: 2, figure: 'worstKind', atLeast: 0.95 },
    { name: 'overload', seed: 1, figure: 'worstWindows', atLeast: 0.92 },
    { name: 'overload', seed: 4, figure: 'worstWindows', atLeast: 0.865 },
    { name: 'large-busy', seed: 1, figure: 'worth', atLeast: 0.97 },
    { name: 'large-busy', seed: 2, figure: 'worstKind', atLeast: 0.94 }
  ]
  it.each(cases)('$name, seed $seed: $figure is at least $atLeast', async ({ name, seed, figure, atLeast }) => {
    const { figures } = await runScenario(scenarioOf(name), seed, POLICY)
    expect(figures[figure]).toBeGreaterThanOrEqual(atLeast)
  })

  it('a busy fleet with weak entries spends few frames and bytes on a task', async () => {
    const { figures } = await runScenario(scenarioOf('large-busy'), 1, POLICY)
    expect(figures.framesPerTask).toBeLessThan(15)
    expect(figures.bytesPerTask).toBeLessThan(2600)
    expect(figures.startsInVain).toBeLessThan(0.13)
  })

  it('the same seed gives the same bits', async () => {
    const scenario = { ...scenarioOf('faults'), seconds: 8 }
    const runs = [await runScenario(scenario, 3, POLICY), await runScenario(scenario, 3, POLICY)]
    expect(runs[0]).toEqual(runs[1])
  })

  const drawn = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) => ({ seed }))
  it.each(drawn)('drawn scenario $seed: no two runs of a task overlap and no endpoint is over its capacity', async ({ seed }) => {
    const { violations } = await runScenario(drawScenario(seed), seed, POLICY)
    expect(violations).toEqual([])
  })

  it('every variant plays', async () => {
    const scenario = { ...scenarioOf('calm'), seconds: 2 }
    for (const policy of VARIANTS.values()) expect((await runScenario(scenario, 1, policy)).figures.violations).toBe(0)
  })

  it('one queue that knows everything is in time with nearly all of a calm load', async () => {
    expect((await runBound(scenarioOf('calm'), 1)).worth).toBeGreaterThan(0.99)
  })
})

describe('traffic', () => {
  it('depends on the seed alone', () => {
    const scenario = scenarioOf('burst')
    expect(drawTraffic(scenario, 5)).toEqual(drawTraffic(scenario, 5))
    expect(drawTraffic(scenario, 5)).not.toEqual(drawTraffic(scenario, 6))
  })

  it('a burst brings as many times the jobs', () => {
    const perSecond = (from: number, to: number): number => {
      const counts = [1, 2, 3, 4, 5].map((seed) => drawTraffic(scenarioOf('burst'), seed)
        .filter(({ at }) => at >= from * 1000 && at < to * 1000).length / (to - from))
      return counts.reduce((sum, count) => sum + count, 0) / counts.length
    }
    expect(perSecond(3, 7) / perSecond(0, 3)).toBeCloseTo(1.6, 0)
  })
})

describe('scenario files', () => {
  const good = { name: 'x', seconds: 1, entries: { count: 1 }, endpoints: { count: 1, cpuMilli: 1000 }, kinds: [{ name: 'k', perSecond: 1, tasks: 1, runMs: 10, cpuMilli: 100, priority: 0, attempts: 1 }] }
  const bad: Array<{ name: string, change: object, message: RegExp }> = [
    { name: 'a key that is missing', change: { seconds: undefined }, message: /^x\.toml: seconds: / },
    { name: 'a key that nobody knows', change: { second: 1 }, message: /^x\.toml: the file: .*second/ },
    { name: 'a value out of bounds', change: { entries: { count: 0 } }, message: /^x\.toml: entries\.count: / },
    { name: 'a trouble that nobody knows', change: { troubles: [{ kind: 'storm', at: 1 }] }, message: /^x\.toml: troubles\.0\.kind: / },
    { name: 'a burst of a kind that there is not', change: { troubles: [{ kind: 'burst', at: 1, for: 1, x: 2, of: 'y' }] }, message: /^x\.toml: troubles\.of: / }
  ]
  it.each(bad)('$name is named with file and reason', ({ change, message }) => {
    expect(() => checkScenario({ ...good, ...change }, 'x.toml')).toThrow(message)
  })

  it('a file that cannot be read is named', () => {
    expect(() => readScenario('/nowhere.toml')).toThrow(ScenarioError)
  })
})

describe('statistics', () => {
  it('pairs take out what seeds differ by', () => {
    const first = [0.1, 0.5, 0.9]
    const second = [0.2, 0.6, 1.0]
    expect(estimateDifference(first, second).mean).toBeCloseTo(0.1)
    expect(estimateDifference(first, second).halfWidth).toBeCloseTo(0)
    expect(estimate(first).halfWidth).toBeCloseTo(1.96 * 0.4 / Math.sqrt(3))
  })
})
