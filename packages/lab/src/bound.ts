import { fits } from '@hazellift/decisions'
import type { Resources } from '@hazellift/decisions'
import { EventClock } from './eventClock.js'
import { newCounts, toFigures } from './figures.js'
import type { Figures, Outcome } from './figures.js'
import type { Scenario } from './scenario.js'
import { drawTraffic } from './traffic.js'
import type { Arrival } from './traffic.js'

interface Place {
  free: Resources
  speed: number
}

interface Waiting {
  arrival: Arrival
  /** Tasks not begun, longest first. */
  left: number[]
  open: number
}

/** Way of the request and of its answer. */
const CLIENT_WAYS_MS = 2

const placesOf = ({ endpoints: { count, cpuMilli, memoryMb, sizes, speeds } }: Scenario): Place[] =>
  Array.from({ length: count }, (_, index) => {
    const size = sizes[index % sizes.length]!
    return { free: { cpuMilli: cpuMilli * size, memoryMb: memoryMb * size }, speed: speeds[index % speeds.length]! }
  })

const dueAt = ({ arrival: { at, objectiveMs } }: Waiting): number => at + objectiveMs - CLIENT_WAYS_MS

type Order = (a: Waiting, b: Waiting) => number

const workOf = ({ arrival: { job } }: Waiting): number => job.tasks.reduce((sum, { runMs, need }) => sum + runMs * need.cpuMilli, 0)

/** Each is the best one under some load. */
const ORDERS: Order[] = [
  (a, b) => dueAt(a) - a.arrival.job.longestMs - dueAt(b) + b.arrival.job.longestMs,
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
export const playBound = async (scenario: Scenario, seed: number): Promise<Figures> => {
  const tries: Figures[] = []
  for (const order of ORDERS) tries.push(await playOrder(scenario, seed, order))
  return tries.reduce((best, figures) => figures.worth > best.worth ? figures : best)
}

const playOrder = async (scenario: Scenario, seed: number, order: Order): Promise<Figures> => {
  const clock = new EventClock()
  const places = placesOf(scenario)
  const outcomes: Outcome[] = []
  let queue: Waiting[] = []

  const end = ({ arrival }: Waiting, how: Outcome['end']): void => {
    outcomes.push({ arrival, end: how, ms: clock.now() - arrival.at + CLIENT_WAYS_MS, roomWasFree: false })
  }
  const begin = (waiting: Waiting, place: Place): void => {
    const { need, runMs, fails } = waiting.arrival.job.tasks[waiting.left.shift()!]!
    place.free.cpuMilli -= need.cpuMilli
    place.free.memoryMb -= need.memoryMb
    // One that fails runs again at once.
    clock.after(runMs / place.speed * (fails ? 2 : 1), () => {
      place.free.cpuMilli += need.cpuMilli
      place.free.memoryMb += need.memoryMb
      if (--waiting.open === 0) end(waiting, waiting.arrival.job.tasks.every((task) => task.fails) ? 'failed' : 'complete')
      pump()
    })
  }
  const canBeInTime = (waiting: Waiting, speed: number): boolean =>
    clock.now() + waiting.arrival.job.tasks[waiting.left[0]!]!.runMs / speed <= dueAt(waiting)
  const fastest = Math.max(...places.map(({ speed }) => speed))
  const pump = (): void => {
    queue = queue.filter((waiting) => {
      const isLate = waiting.left.length === waiting.arrival.job.tasks.length && !canBeInTime(waiting, fastest)
      if (isLate) end(waiting, 'refused')
      return !isLate
    })
    queue.sort(order)
    for (const waiting of queue) {
      while (waiting.left.length > 0) {
        const { need } = waiting.arrival.job.tasks[waiting.left[0]!]!
        const free = places.filter((place) => fits(need, place.free))
        if (free.length === 0) break
        begin(waiting, free.reduce((best, place) => place.speed > best.speed ? place : best))
      }
    }
    queue = queue.filter(({ left }) => left.length > 0)
  }

  for (const arrival of drawTraffic(scenario, seed)) {
    const left = [...arrival.job.tasks.keys()].sort((a, b) => arrival.job.tasks[b]!.runMs - arrival.job.tasks[a]!.runMs)
    clock.after(arrival.at, () => {
      queue.push({ arrival, left, open: left.length })
      pump()
    })
  }
  await clock.runUntil(scenario.seconds * 1000 * 2 + 60_000)
  return toFigures(outcomes, newCounts())
}
