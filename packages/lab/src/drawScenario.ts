import type { Random } from '@hazellift/common'
import { sampleShare, randomStream } from './draw.js'
import { checkScenario } from './scenario.js'
import type { Scenario, Trouble } from './scenario.js'

/** Purpose of the source that scenarios are drawn from. */
const SCENARIO_STREAM = 63
const SECONDS = 15
const TROUBLE_DRAWS: Array<(at: number, random: Random) => Trouble> = [
  (at, random) => ({ kind: 'burst', at, for: 3, x: 1.3 + random() }),
  (at, random) => ({ kind: 'lost_orders', at, for: 4, share: 0.02 + 0.2 * random() }),
  (at, random) => ({ kind: 'slow_endpoints', at, for: 4, share: 0.1 + 0.3 * random(), x: 2 + 6 * random() }),
  (at) => ({ kind: 'failing_endpoints', at, for: 4, share: 0.1 }),
  (at) => ({ kind: 'hanging_endpoints', at, for: 4, share: 0.1 }),
  (at, random) => ({ kind: 'lost_endpoints', at, for: 3, share: 0.1 + 0.3 * random() }),
  (at, random) => ({ kind: 'frozen_agents', at, for: 1 + 2 * random(), share: 0.15 }),
  (at, random) => ({ kind: 'killed_agents', at, for: 1, share: 0.1 + 0.9 * random() }),
  (at, random) => ({ kind: 'killed_entries', at, for: 1, share: 0.1 + 0.9 * random() }),
  (at, random) => ({ kind: 'silent_links', at, for: 3, share: 0.1 + 0.3 * random() }),
  (at) => ({ kind: 'callers_leave', at, for: 4, share: 0.3 }),
  (at) => ({ kind: 'hopeless_jobs', at, for: 3, share: 0.05 })
]

const drawUniform = (random: Random, from: number, to: number): number => from + random() * (to - from)
/** Small and large alike. */
const drawLogUniform = (random: Random, from: number, to: number): number => from * (to / from) ** random()

/**
 * A scenario of sizes, mixes and troubles that nobody chose: 2 to 20 endpoints,
 * one kind of job or up to six, tasks of 20 ms to 8 s, guesses wrong by up to
 * ten times, a load of a third of the capacity to a fifth over it, and two or
 * three troubles.
 *
 * @param seed - the same seed gives the same scenario
 */
export const drawScenario = (seed: number): Scenario => {
  const random = randomStream(seed, SCENARIO_STREAM)
  const endpoints = Math.round(drawLogUniform(random, 2, 20))
  const cpuMilli = Math.round(drawLogUniform(random, 4000, 64_000))
  const shares = Array.from({ length: 1 + Math.floor(random() * 6) }, () => 0.05 + random())
  const load = drawUniform(random, 0.35, 1.2) * endpoints * cpuMilli
  const kinds = shares.map((share, index) => {
    const kindCpu = drawLogUniform(random, cpuMilli / 40, cpuMilli / 4)
    const runMs = drawLogUniform(random, 20, 8000)
    const tasks = drawLogUniform(random, 1, Math.min(12, endpoints * 2))
    const milli = load * share / shares.reduce((sum, other) => sum + other, 0)
    return {
      name: `kind-${index}`,
      tasks,
      tasksMost: 60,
      runMs,
      cpuMilli: kindCpu,
      perSecond: Math.max(0.05, milli * 1000 / (tasks * runMs * kindCpu)),
      guessSpread: random() < 0.2 ? 1.2 : 0.4,
      priority: Math.floor(random() * 3),
      attempts: 2 + Math.floor(random() * 3)
    }
  })
  const troubles = sampleShare(random, TROUBLE_DRAWS, (2 + Math.floor(random() * 2)) / TROUBLE_DRAWS.length)
    .map((make) => make(drawUniform(random, 1, SECONDS - 5), random))
  return checkScenario({
    name: `drawn-${seed}`, seconds: SECONDS, zones: 1 + Math.floor(random() * 4), entries: { count: 1 + Math.floor(random() * 4) }, endpoints: { count: endpoints, cpuMilli, speeds: [1, 1, 1.3], sizes: [1, 1, 1.5] }, kinds, troubles
  }, `seed ${seed}`)
}
