import { fits } from '@hazellift/decisions'
import type { Resources } from '@hazellift/decisions'
import { EventClock } from './eventClock.js'
import { createCounts, computeFigures } from './figures.js'
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
  /** Tasks not begun, longest first. */
  unstarted: number[]
  unfinished: number
}

/** Way of the request and of its answer. */
const CLIENT_ROUND_TRIP_MS = 2

const createEndpoints = ({ endpoints: { count, cpuMilli, memoryMb, sizes, speeds } }: Scenario): IdealEndpoint[] =>
  Array.from({ length: count }, (_, index) => {
    const size = sizes[index % sizes.length]!
    return { free: { cpuMilli: cpuMilli * size, memoryMb: memoryMb * size }, speed: speeds[index % speeds.length]! }
  })

const dueAt = ({ arrival: { at, objectiveMs } }: WaitingJob): number => at + objectiveMs - CLIENT_ROUND_TRIP_MS

type JobOrder = (a: WaitingJob, b: WaitingJob) => number

const workOf = ({ arrival: { job } }: WaitingJob): number => job.tasks.reduce((sum, { runMs, need }) => sum + runMs * need.cpuMilli, 0)

/** Each is the best one under some load. */
const JOB_ORDERS: JobOrder[] = [
  (a, b) => dueAt(a) - a.arrival.job.longestRunMs - dueAt(b) + b.arrival.job.longestRunMs,
  (a, b) => a.arrival.job.kind.priority - b.arrival.job.kind.priority || dueAt(a) - dueAt(b),
  // What each millisecond of an endpoint earns.
  (a, b) => b.arrival.job.weight / workOf(b) - a.arrival.job.weight / workOf(a)
]

/**
 * Plays the same load with one queue that knows every run time and all room at
 * once, without any way or fault: what is left of a figure below it is due to
 * information that comes late, to faults, or to the decisions.
 *
 * It is greedy, by the best of three orders: jobs that cannot be in time any more
 * by their true run time are refused. A better plan may exist.
 *
 * @param scenario - its troubles change the traffic only
 * @param seed - as for a run
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
  const startTask = (waiting: WaitingJob, place: IdealEndpoint): void => {
    const { need, runMs, fails } = waiting.arrival.job.tasks[waiting.unstarted.shift()!]!
    place.free.cpuMilli -= need.cpuMilli
    place.free.memoryMb -= need.memoryMb
    // One that fails runs again at once.
    clock.after(runMs / place.speed * (fails ? 2 : 1), () => {
      place.free.cpuMilli += need.cpuMilli
      place.free.memoryMb += need.memoryMb
      if (--waiting.unfinished === 0) finishJob(waiting, waiting.arrival.job.tasks.every((task) => task.fails) ? 'failed' : 'complete')
      dispatch()
    })
  }
  const canBeInTime = (waiting: WaitingJob, speed: number): boolean =>
    clock.now() + waiting.arrival.job.tasks[waiting.unstarted[0]!]!.runMs / speed <= dueAt(waiting)
  const fastest = Math.max(...endpoints.map(({ speed }) => speed))
  const dispatch = (): void => {
    queue = queue.filter((waiting) => {
      const isLate = waiting.unstarted.length === waiting.arrival.job.tasks.length && !canBeInTime(waiting, fastest)
      if (isLate) finishJob(waiting, 'refused')
      return !isLate
    })
    queue.sort(order)
    for (const waiting of queue) {
      while (waiting.unstarted.length > 0) {
        const { need } = waiting.arrival.job.tasks[waiting.unstarted[0]!]!
        const free = endpoints.filter((place) => fits(need, place.free))
        if (free.length === 0) break
        startTask(waiting, free.reduce((best, place) => place.speed > best.speed ? place : best))
      }
    }
    queue = queue.filter(({ unstarted: left }) => left.length > 0)
  }

  for (const arrival of drawTraffic(scenario, seed)) {
    const left = [...arrival.job.tasks.keys()].sort((a, b) => arrival.job.tasks[b]!.runMs - arrival.job.tasks[a]!.runMs)
    clock.after(arrival.at, () => {
      queue.push({ arrival, unstarted: left, unfinished: left.length })
      dispatch()
    })
  }
  await clock.runUntil(scenario.seconds * 1000 * 2 + 60_000)
  return computeFigures(outcomes, createCounts())
}
