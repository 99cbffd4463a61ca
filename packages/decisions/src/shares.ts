/**
 * Fair shares under overload: how much of an entry's capacity is guaranteed to
 * each queue. The jobs of one priority at one service form a queue.
 *
 * When more work arrives than the endpoints can do, and much of it has one
 * priority, scheduling by priority alone would refuse the callers of the lowest
 * priority while the others lose nothing.
 *
 * Under overload each queue with arrivals therefore has a floor: most of what it
 * would get if the same fraction of every queue's work were served. The rest is
 * assigned by priority. A queue that has more work refused than its floor allows
 * is scheduled like the most urgent one until it has caught up. Capacity that a
 * queue does not use is available to the others: none is reserved for a queue
 * that has no job to start. If callers submit more than they need, the fraction
 * falls for everybody, themselves included; and floors count work rather than
 * jobs, so that splitting jobs gains nothing.
 *
 * Each entry applies this to its own observations; no message carries floors.
 */

/** Recent load of a queue at an entry. Rates are in milli-cores: work per ms that occupies a thousandth of a core. */
export interface QueueLoad {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Work that arrived, admitted or not. */
  readonly arrivedMilli: number
  /** Work that was admitted. */
  readonly admittedMilli: number
  /** Work that was started. */
  readonly startedMilli: number
  /** Work that was refused, on arrival or after a wait. */
  readonly refusedMilli: number
}

/** A queue's load with its floor. */
export interface QueueShare extends QueueLoad {
  /** Guaranteed rate: while the queue gets less, those of its jobs that can be in time go first. 0 without overload. */
  readonly floorMilli: number
}

/** Computes the floors of a service's queues, given the rate at which the entry serves them. */
export type ComputeShares = (servedMilli: number, queues: readonly QueueLoad[]) => QueueShare[]

/**
 * Floor of a queue as a share of what it would get if the same fraction of all
 * queues' work were served. With 1, some queue would always be below its floor and
 * priority would have no effect; with much less, nearly all refusals fall on the
 * lowest priority again.
 */
export const FLOOR_SHARE = 0.95

/**
 * Computes floors under overload; all floors are 0 while everything that arrives
 * can be served.
 *
 * @param servedMilli - rate at which the entry serves the queues
 * @param queues - the queues of one service
 */
export const computeShares: ComputeShares = (servedMilli, queues) => {
  const arrivedMilli = queues.reduce((sum, queue) => sum + queue.arrivedMilli, 0)
  const floorShare = arrivedMilli > servedMilli ? FLOOR_SHARE * servedMilli / arrivedMilli : 0
  return queues.map((queue) => ({ ...queue, floorMilli: floorShare * queue.arrivedMilli }))
}

/**
 * True if more of a queue's work was refused recently than its floor allows. Work
 * that waits does not count: it may still be in time.
 */
export const isBelowFloor = ({ floorMilli, arrivedMilli, startedMilli, refusedMilli }: QueueShare): boolean =>
  startedMilli * arrivedMilli < floorMilli * (startedMilli + refusedMilli)

/** Raises the priority of queues below their floors to `stepsBehind` after the most urgent one. */
const raisePriorities = (queues: readonly QueueShare[], stepsBehind: number): ((priority: number) => number) => {
  const below = new Set(queues.filter(isBelowFloor).map(({ priority }) => priority))
  const first = Math.min(...queues.map(({ priority }) => priority))
  return (priority) => below.has(priority) ? Math.min(priority, first + stepsBehind) : priority
}

/**
 * Maps a job's priority to the one with which it competes at its entry. A queue
 * below its floor competes like the most urgent one; between equals the earlier
 * latest start decides.
 *
 * @param queues - the queues of one service
 */
export const effectivePriority = (queues: readonly QueueShare[]): ((priority: number) => number) => raisePriorities(queues, 0)

/**
 * Maps a job's priority to the one with which its entry competes for scarce
 * capacity at an agent. A queue below its floor comes right after the most urgent
 * one: an agent does not know the jobs' latest starts, and those of the most
 * urgent queue have the least time.
 *
 * @param queues - the queues of one service
 */
export const demandPriority = (queues: readonly QueueShare[]): ((priority: number) => number) => raisePriorities(queues, 1)
