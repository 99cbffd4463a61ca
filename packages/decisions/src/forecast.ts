/**
 * How long what waits will wait.
 *
 * Load: more work arrives than the endpoints can do. Most refusals of a burst
 * came after a wait in vain, as nobody had worked out at the start that no room
 * would come in time. What is ahead of a job is not all: while it waits, more
 * urgent work arrives and goes first.
 */
import { isBelowFloor } from './shares.js'
import type { QueueShare } from './shares.js'
import type { JobView } from './types.js'

/** Work of an entry lately, in milli-cores: work of a thousandth of a core a ms. */
export interface LoadView {
  /** What it could start while work waited: its part of the endpoints, as observed. */
  readonly servedMilli: number
  /** Those that asked for work lately, with what is kept for each. */
  readonly queues: readonly QueueShare[]
}

/** Nothing is known of any load. */
export const UNKNOWN_LOAD: LoadView = { servedMilli: Infinity, queues: [] }

/** What goes before a job, in milli-cores times ms. */
export interface WorkAhead {
  /** Of all queues. */
  readonly all: number
  /** Of the job's own queue. */
  readonly own: number
}

/** Work that goes before a job of this priority, of the jobs that wait. */
export const workAhead = (waiting: Iterable<JobView>, priority: number): WorkAhead => {
  let [all, own] = [0, 0]
  for (const job of waiting) {
    if (job.priority > priority) continue
    const work = queuedWork(job)
    all += work
    if (job.priority === priority) own += work
  }
  return { all, own }
}

/**
 * At least this part of what is served is counted on, however much urgent work
 * arrives: a burst may end, and with much less the least urgent jobs would be
 * turned away too often.
 */
const MIN_REMAINING_SHARE = 0.35

/** Work of the tasks that wait, in milli-cores times ms. */
export const queuedWork = ({ queue, need, expectedMs }: Pick<JobView, 'queue' | 'need' | 'expectedMs'>): number =>
  queue.length * need.cpuMilli * expectedMs

/** What more urgent arrivals leave to a priority. */
const remainingMilli = (servedMilli: number, priority: number, queues: readonly QueueShare[]): number =>
  queues.reduce((remaining, queue) => queue.priority < priority ? remaining - queue.admittedMilli : remaining, servedMilli)

/**
 * Time until a job's first task can start: all that goes before it is served by
 * then, by what more urgent arrivals leave, or, if its queue is below its floor,
 * what goes before it in its own queue, by the floor; whichever comes sooner.
 *
 * @param ahead - what goes before it
 * @param priority - the job's
 * @param load - what the entry serves
 * @returns in ms
 */
export const forecastWait = (ahead: WorkAhead, priority: number, { servedMilli, queues }: LoadView): number => {
  if (ahead.all === 0) return 0
  const byPriorityMs = ahead.all / Math.max(servedMilli * MIN_REMAINING_SHARE, remainingMilli(servedMilli, priority, queues))
  const share = queues.find((queue) => queue.priority === priority)
  return share !== undefined && isBelowFloor(share) ? Math.min(byPriorityMs, ahead.own / share.floorMilli) : byPriorityMs
}
