import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'
import { createNeighbourJobs } from './neighbours.js'
import type { LoadJob, LoadOptions } from './types.js'

const MIN_TASK_MS = 50
const MAX_TASK_MS = 1000
const LONG_TASK_SHARE = 0.01
const LONG_TASK_RANGE_MS = [2000, 5000] as const
const UNREPEATABLE_SHARE = 0.1
const BURST_PERIOD_MS = 3000
const BURST_TASKS = 100
const BURST_TASK_MS = 100
/** Declared times are off by up to this factor either way. */
const DECLARED_ERROR_FACTOR = 10

/** Shares of jobs by size: most are small, a few have hundreds of tasks. */
const SIZE_CLASSES = [
  { share: 0.5, from: 1, to: 1 },
  { share: 0.35, from: 2, to: 12 },
  { share: 0.13, from: 13, to: 60 },
  { share: 0.02, from: 61, to: 300 }
] as const

const drawUniform = (random: Random, from: number, to: number): number => from + random() * (to - from)

const drawLogUniform = (random: Random, from: number, to: number): number =>
  Math.exp(drawUniform(random, Math.log(from), Math.log(to)))

const drawTaskMs = (random: Random): number => {
  const [from, to] = random() < LONG_TASK_SHARE ? LONG_TASK_RANGE_MS : [MIN_TASK_MS, MAX_TASK_MS]
  return Math.round(drawLogUniform(random, from, to))
}

const drawSize = (random: Random, maxTasks: number): number => {
  let remainingShare = random()
  const size = SIZE_CLASSES.find(({ share }) => (remainingShare -= share) < 0) ?? SIZE_CLASSES[0]
  return Math.min(maxTasks, Math.floor(drawUniform(random, size.from, size.to + 1)))
}

const drawTasks = (random: Random, count: number, draw: () => number) => {
  const taskMs = Array.from({ length: count }, draw)
  const declaredMs = taskMs.map((ms) => Math.round(ms * drawLogUniform(random, 1 / DECLARED_ERROR_FACTOR, DECLARED_ERROR_FACTOR)))
  return { taskMs, declaredMs }
}

/** Mean work of a job in ms, found by drawing many. */
const meanWorkMs = (seed: number, maxTasks: number): number => {
  const random = seededRandom(seed)
  const draws = 5000
  let totalMs = 0
  for (let n = 0; n < draws; n++) {
    for (let remaining = drawSize(random, maxTasks); remaining > 0; remaining--) totalMs += drawTaskMs(random)
  }
  return totalMs / draws
}

const drawJobs = (options: LoadOptions, random: Random, jobsPerMs: number): LoadJob[] => {
  const jobs: LoadJob[] = []
  // Exponential gaps: arrivals do not wait for answers.
  for (let atMs = 0; atMs < options.seconds * 1000; atMs += -Math.log(1 - random()) / jobsPerMs) {
    const n = jobs.length
    jobs.push({
      id: `job-${n}`,
      workspace: `workspace-${Math.floor(random() * options.workspaces)}`,
      atMs,
      ...drawTasks(random, drawSize(random, options.maxTasks), () => drawTaskMs(random)),
      unrepeatable: random() < UNREPEATABLE_SHARE,
      entry: Math.floor(random() * options.entries)
    })
  }
  return jobs
}

const drawBursts = ({ burst, seconds, entries }: LoadOptions, random: Random): LoadJob[] => {
  const jobs: LoadJob[] = []
  if (burst === 0) return jobs
  for (let atMs = BURST_PERIOD_MS / 2; atMs < seconds * 1000; atMs += BURST_PERIOD_MS) {
    for (let n = 0; n < burst; n++) {
      jobs.push({
        id: `burst-${atMs}-${n}`,
        workspace: 'bursty',
        atMs,
        ...drawTasks(random, BURST_TASKS, () => BURST_TASK_MS),
        unrepeatable: false,
        entry: n % entries
      })
    }
  }
  return jobs
}

/**
 * Draws a load. The same options give the same load.
 *
 * @param options - seed, intensity and sizes
 * @returns jobs in order of arrival
 */
export const createLoad = (options: LoadOptions): LoadJob[] => {
  const jobsPerMs = options.share * options.slots / meanWorkMs(options.seed, options.maxTasks)
  const random = seededRandom(options.seed)
  const jobs = [...drawJobs(options, random, jobsPerMs), ...drawBursts(options, random), ...createNeighbourJobs(options)]
  return jobs.sort((a, b) => a.atMs - b.atMs)
}
