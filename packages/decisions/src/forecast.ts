/**
 * Forecasts how long a job will wait for its first start.
 *
 * When more work arrives than the endpoints can do, a job that cannot start in
 * time should be refused at once; without a forecast most jobs refused in a burst
 * have waited first. A job waits not only for the work ahead of it, but also for
 * more urgent work that arrives meanwhile.
 */
import { isBelowFloor } from './shares.js'
import type { QueueShare } from './shares.js'
import type { JobView } from './types.js'

/** Recent load of one service at an entry. Rates are in milli-cores: work per ms that occupies a thousandth of a core. */
export interface LoadView {
  /** Work that the entry could start while some waited: its observed share of the endpoints. */
  readonly servedMilli: number
  /** The queues with recent arrivals, each with its floor. */
  readonly queues: readonly QueueShare[]
}

/** The load of an entry that has observed nothing yet: every job is expected to start at once. */
export const UNKNOWN_LOAD: LoadView = { servedMilli: Infinity, queues: [] }

/** Work that goes before a job, in milli-cores times ms. */
export interface WorkAhead {
  /** Of all queues. */
  readonly all: number
  /** Of the job's own queue. */
  readonly own: number
}

/** Sums up the work of the waiting jobs that go before a new job of this priority. */
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
 * At least this share of what the entry serves is assumed to remain for a job,
 * however much urgent work arrives: a burst may end, and a much smaller share
 * would refuse the least urgent jobs too often.
 */
const MIN_REMAINING_SHARE = 0.35

/** Work of a job's tasks that wait, in milli-cores times ms. */
export const queuedWork = ({ queue, need, expectedMs }: Pick<JobView, 'queue' | 'need' | 'expectedMs'>): number =>
  queue.length * need.cpuMilli * expectedMs

/** What remains for a priority after the work of more urgent arrivals. */
const remainingMilli = (servedMilli: number, priority: number, queues: readonly QueueShare[]): number =>
  queues.reduce((remaining, queue) => queue.priority < priority ? remaining - queue.admittedMilli : remaining, servedMilli)

/**
 * Time until a job's first task can start. By then all the work ahead of it has
 * been served with what remains after more urgent arrivals. If its queue is below
 * its floor, it may start sooner: once the work ahead in its own queue has been
 * served at the rate of the floor.
 *
 * @param ahead - work that goes before the job
 * @param priority - the job's priority
 * @param load - load of the entry
 * @returns in ms
 */
export const forecastWait = (ahead: WorkAhead, priority: number, { servedMilli, queues }: LoadView): number => {
  if (ahead.all === 0) return 0
  const byPriorityMs = ahead.all / Math.max(servedMilli * MIN_REMAINING_SHARE, remainingMilli(servedMilli, priority, queues))
  const share = queues.find((queue) => queue.priority === priority)
  return share !== undefined && isBelowFloor(share) ? Math.min(byPriorityMs, ahead.own / share.floorMilli) : byPriorityMs
}
