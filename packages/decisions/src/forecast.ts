/**
 * How long what waits will wait.
 *
 * Load: more work arrives than the endpoints can do. Most refusals of a burst
 * came after a wait in vain, as nobody had worked out at the start that no room
 * would come in time. What is ahead of a job is not all: while it waits, more
 * urgent work arrives and goes first.
 */
import type { JobView } from './types.js'

/** Work of an entry lately, in milli-cores: work of a thousandth of a core a ms. */
export interface LoadView {
  /** What it could start while work waited: its part of the endpoints, as observed. */
  readonly servedMilli: number
  /** What arrived with a higher priority than this one. */
  readonly moreUrgentMilli: (priority: number) => number
}

/**
 * At least this part of what is served is counted on, however much urgent work
 * arrives: a burst may end. With a tenth, the least urgent kind is turned away
 * too often (worst kind 0.885, 0.911 with this, 0.903 if urgent work is not
 * counted at all); the whole changes little (0.953, 0.947, 0.944). Emulated: a
 * quarter over capacity for 8 s, 8 seeds.
 */
const MIN_LEFT_SHARE = 0.35

/** Work of the tasks that wait, in milli-cores times ms. */
export const workLeft = ({ queue, need, expectedMs }: Pick<JobView, 'queue' | 'need' | 'expectedMs'>): number =>
  queue.length * need.cpuMilli * expectedMs

/**
 * Time until a job's first task can start.
 *
 * @param aheadWork - of what goes before it, in milli-cores times ms
 * @param priority - the job's
 * @param load - what the entry serves
 * @returns in ms
 */
export const forecastWait = (aheadWork: number, priority: number, { servedMilli, moreUrgentMilli }: LoadView): number => {
  if (aheadWork === 0) return 0
  const leftMilli = Math.max(servedMilli * MIN_LEFT_SHARE, servedMilli - moreUrgentMilli(priority))
  return aheadWork / leftMilli
}
