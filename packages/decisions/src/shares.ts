/**
 * What each queue keeps when several compete for too little room. The jobs of
 * one priority at one service are a queue.
 *
 * Load: more work arrives than the endpoints can do, and one priority brings
 * much of it. By priority alone the last one would pay for all: its callers are
 * turned away while the others lose nothing.
 *
 * Priority says who goes first. Under overload each queue that asks keeps most
 * of what it would get if all were served the same fraction of what they ask; the
 * rest goes by priority. A queue of which more was refused goes like the most
 * urgent one until it has its part. What a queue does not use is lent: nothing
 * waits for a queue that has no job to start. Asking for more than needed lowers
 * the fraction for everybody, the one who asks included, and parts are of work
 * and not of jobs, so that nobody gains by splitting jobs.
 *
 * Each entry applies this to what it observes itself; no message carries it.
 */

/** A queue at an entry lately, in milli-cores: work of a thousandth of a core a ms. */
export interface QueueLoad {
  /** 0 goes first. */
  readonly priority: number
  /** All that arrived, whether it was taken on or not. */
  readonly arrivedMilli: number
  /** What was taken on. */
  readonly admittedMilli: number
  /** What was started. */
  readonly startedMilli: number
  /** What was refused. */
  readonly refusedMilli: number
}

/** A queue with what is kept for it. */
export interface QueueShare extends QueueLoad {
  /** Its jobs that can be in time go first while it gets less; 0 without overload. */
  readonly floorMilli: number
}

/** Works out what is kept for each queue of a service, of what an entry serves of it. */
export type ComputeShares = (servedMilli: number, queues: readonly QueueLoad[]) => QueueShare[]

/**
 * Part that is kept for each queue of what it would get if all were served the
 * same fraction. With the whole, some queue would be below its floor at all times
 * and priority would say nothing; with much less, the last one pays for all again.
 */
export const FLOOR_SHARE = 0.95

/**
 * Floors under overload; none while what is asked can be served.
 *
 * @param servedMilli - what the entry serves
 * @param queues - those of one service
 */
export const computeShares: ComputeShares = (servedMilli, queues) => {
  const arrivedMilli = queues.reduce((sum, queue) => sum + queue.arrivedMilli, 0)
  const floorShare = arrivedMilli > servedMilli ? FLOOR_SHARE * servedMilli / arrivedMilli : 0
  return queues.map((queue) => ({ ...queue, floorMilli: floorShare * queue.arrivedMilli }))
}

/**
 * True if more of a queue's work was refused lately than what is kept for it
 * allows. Work that waits counts for nothing: it may still be in time.
 */
export const isBelowFloor = ({ floorMilli, arrivedMilli: askedMilli, startedMilli, refusedMilli }: QueueShare): boolean =>
  startedMilli * askedMilli < floorMilli * (startedMilli + refusedMilli)

const raisePriorities = (queues: readonly QueueShare[], stepsBehind: number): ((priority: number) => number) => {
  const below = new Set(queues.filter(isBelowFloor).map(({ priority }) => priority))
  const first = Math.min(...queues.map(({ priority }) => priority))
  return (priority) => below.has(priority) ? Math.min(priority, first + stepsBehind) : priority
}

/**
 * The priorities with which jobs compete at their entry: those of queues below
 * their floors go like the most urgent queue, where who must start sooner goes first.
 *
 * @param queues - those of one service
 */
export const effectivePriority = (queues: readonly QueueShare[]): ((priority: number) => number) => raisePriorities(queues, 0)

/**
 * The priorities with which entries compete for scarce room at an agent: queues
 * below their floors come right behind the most urgent one. An agent does not know
 * how soon jobs must start; those of the most urgent queue have the least time.
 *
 * @param queues - those of one service
 */
export const demandPriority = (queues: readonly QueueShare[]): ((priority: number) => number) => raisePriorities(queues, 1)
