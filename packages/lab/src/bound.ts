import { fits } from '@hazellift/decisions'
import type { Resources } from '@hazellift/decisions'
import { EventClock } from './eventClock.js'
import { computeFigures, createCounts } from './figures.js'
import type { Figures, Outcome } from './figures.js'
import type { Scenario } from './scenario.js'
import { drawTraffic } from './traffic.js'
import type { Arrival } from './traffic.js'

interface IdealEndpoint {
  free: Resources
  speed: number
}

interface WaitingJob {
  arrival: Arrival
  /** Indexes of the tasks that are not started, longest first. */
  unstarted: number[]
  /** Number of tasks that have not ended. */
  unfinished: number
}

/** Network delay of the request and of its answer. */
const CLIENT_ROUND_TRIP_MS = 2

const createEndpoints = ({ endpoints: { count, cpuMilli, memoryMb, sizes, speeds } }: Scenario): IdealEndpoint[] =>
  Array.from({ length: count }, (_, index) => {
    const size = sizes[index % sizes.length]!
    return { free: { cpuMilli: cpuMilli * size, memoryMb: memoryMb * size }, speed: speeds[index % speeds.length]! }
  })

const dueAt = ({ arrival: { at, objectiveMs } }: WaitingJob): number => at + objectiveMs - CLIENT_ROUND_TRIP_MS

type JobOrder = (a: WaitingJob, b: WaitingJob) => number

const workOf = ({ arrival: { job } }: WaitingJob): number => job.tasks.reduce((sum, { runMs, need }) => sum + runMs * need.cpuMilli, 0)

/** Queue orders; each is the best one under some load. */
const JOB_ORDERS: JobOrder[] = [
  (a, b) => dueAt(a) - a.arrival.job.longestRunMs - dueAt(b) + b.arrival.job.longestRunMs,
  (a, b) => a.arrival.job.kind.priority - b.arrival.job.kind.priority || dueAt(a) - dueAt(b),
  // Highest weight per unit of work first.
  (a, b) => b.arrival.job.weight / workOf(b) - a.arrival.job.weight / workOf(a)
]

/**
 * Runs the same load with one central queue that knows every run time and all free
 * capacity, without network delays inside the system and without faults. The gap between
 * a figure and this reference is due to delayed information, faults, or the decisions.
 *
 * The schedule is greedy, with the best of three orders, and refuses a job once its actual
 * run time no longer fits its objective. A better schedule may exist.
 *
 * @param scenario - only those of its troubles that change the traffic apply
 * @param seed - the same seed gives the same traffic as for `runScenario`
 * @returns the figures of the order with the highest `worth`
 */
export const runBound = async (scenario: Scenario, seed: number): Promise<Figures> => {
  const results: Figures[] = []
  for (const order of JOB_ORDERS) results.push(await runInOrder(scenario, seed, order))
  return results.reduce((best, figures) => figures.worth > best.worth ? figures : best)
}

const runInOrder = async (scenario: Scenario, seed: number, order: JobOrder): Promise<Figures> => {
  const clock = new EventClock()
  const endpoints = createEndpoints(scenario)
  const outcomes: Outcome[] = []
  let queue: WaitingJob[] = []

  const finishJob = ({ arrival }: WaitingJob, how: Outcome['end']): void => {
    outcomes.push({ arrival, end: how, responseMs: clock.now() - arrival.at + CLIENT_ROUND_TRIP_MS, hadFreeCapacity: false })
  }
  const startTask = (waiting: WaitingJob, endpoint: IdealEndpoint): void => {
    const { need, runMs, fails } = waiting.arrival.job.tasks[waiting.unstarted.shift()!]!
    endpoint.free.cpuMilli -= need.cpuMilli
    endpoint.free.memoryMb -= need.memoryMb
    // A task that fails is retried once, at once and at the same endpoint.
    clock.after(runMs / endpoint.speed * (fails ? 2 : 1), () => {
      endpoint.free.cpuMilli += need.cpuMilli
      endpoint.free.memoryMb += need.memoryMb
      if (--waiting.unfinished === 0) finishJob(waiting, waiting.arrival.job.tasks.every((task) => task.fails) ? 'failed' : 'complete')
      dispatch()
    })
  }
  const canBeInTime = (waiting: WaitingJob, speed: number): boolean =>
    clock.now() + waiting.arrival.job.tasks[waiting.unstarted[0]!]!.runMs / speed <= dueAt(waiting)
  const fastestSpeed = Math.max(...endpoints.map(({ speed }) => speed))
  const dispatch = (): void => {
    queue = queue.filter((waiting) => {
      const isLate = waiting.unstarted.length === waiting.arrival.job.tasks.length && !canBeInTime(waiting, fastestSpeed)
      if (isLate) finishJob(waiting, 'refused')
      return !isLate
    })
    queue.sort(order)
    for (const waiting of queue) {
      while (waiting.unstarted.length > 0) {
        const { need } = waiting.arrival.job.tasks[waiting.unstarted[0]!]!
        const free = endpoints.filter((endpoint) => fits(need, endpoint.free))
        if (free.length === 0) break
        startTask(waiting, free.reduce((best, endpoint) => endpoint.speed > best.speed ? endpoint : best))
      }
    }
    queue = queue.filter(({ unstarted }) => unstarted.length > 0)
  }

  for (const arrival of drawTraffic(scenario, seed)) {
    const unstarted = [...arrival.job.tasks.keys()].sort((a, b) => arrival.job.tasks[b]!.runMs - arrival.job.tasks[a]!.runMs)
    clock.after(arrival.at, () => {
      queue.push({ arrival, unstarted, unfinished: unstarted.length })
      dispatch()
    })
  }
  await clock.runUntil(scenario.seconds * 1000 * 2 + 60_000)
  return computeFigures(outcomes, createCounts())
}
