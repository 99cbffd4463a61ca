/**
 * Which tasks are given up because endpoints crash under them, and where a
 * suspect goes.
 *
 * Load: a task crashes each endpoint that starts it, with all that runs beside
 * it, and endpoints crash for other causes, too: one by one, many at a time, or
 * the same place again and again.
 */
import { fits } from './types.js'
import type { Resources } from './types.js'

/** A life of an endpoint that was lost under a run of a task. */
export interface LossView {
  /** Told apart from every other life of any endpoint. */
  readonly incarnation: string
  /** Where it was; another life follows there. */
  readonly agent: string
  /** False if it only fell silent: it may have gone on. */
  readonly isCrash: boolean
  /** Other places whose endpoints crashed at about that time, and not under the task's job. */
  readonly others: number
}

/** What follows from the lives that were lost under a task. */
export type SuspectVerdict =
  | 'clear'
  /** It is tried again where a crash would do least harm. */
  | 'suspect'
  /** It is not started again. */
  | 'give_up'

/** Crashes at so many places that tell against the task are enough. */
const UNEXPLAINED_AGENT_LIMIT = 2
/** The bound on starts counts from this crash on: whatever else may have been the cause, unless all were at one place. */
const CRASH_LIMIT = 3
/** The bound leaves two starts after it, so lives that may have crashed, or had one place in common, count up to here. */
const LOSS_LIMIT = CRASH_LIMIT + 2
/** So many others at the same time: the cause was outside. */
const OUTAGE_CRASHES = 3

const countOf = (losses: readonly LossView[], keyOf: (loss: LossView) => string): number => new Set(losses.map(keyOf)).size

/**
 * Judges a task.
 *
 * @param losses - lives that were lost under it, in any order; one may be told several times
 */
export const judgeSuspect = (losses: readonly LossView[]): SuspectVerdict => {
  const crashes = losses.filter(({ isCrash }) => isCrash)
  const telling = crashes.filter(({ others }) => others < OUTAGE_CRASHES)
  const isGivenUp = countOf(telling, ({ agent: place }) => place) >= UNEXPLAINED_AGENT_LIMIT ||
    (countOf(crashes, ({ incarnation: life }) => life) >= CRASH_LIMIT && countOf(crashes, ({ agent: place }) => place) > 1) ||
    countOf(losses, ({ incarnation: life }) => life) >= LOSS_LIMIT
  if (isGivenUp) return 'give_up'
  return crashes.length > 0 ? 'suspect' : 'clear'
}

/** An agent as the choice for a suspect sees it. */
export interface LeastLoadedView {
  /** What its endpoint has. */
  readonly capacity: Readonly<Resources>
  /** What of that is free. */
  readonly freeCapacity: Readonly<Resources>
}

/** What the choice for a suspect rests on besides. */
export interface LeastLoadedContext<Agent> {
  /** True if an endpoint was lost under the task there. */
  readonly isAvoided: (agent: Agent) => boolean
  /** True if another suspect is there: with both, neither could be cleared. */
  readonly hasSuspect: (agent: Agent) => boolean
}

/**
 * Places where the crash of a suspect's endpoint would take least along: those
 * with the least in use, apart from other suspects, and elsewhere than before.
 *
 * @param agents - those of the task's service that take work
 * @param need - of the task
 * @param context - what the choice rests on besides
 */
export const leastLoaded = <Agent extends LeastLoadedView>(agents: readonly Agent[], need: Resources, { isAvoided, hasSuspect }: LeastLoadedContext<Agent>): Agent[] => {
  const fitting = agents.filter(({ freeCapacity: room }) => fits(need, room))
  const elsewhere = fitting.filter((agent) => !isAvoided(agent))
  const open = elsewhere.length > 0 ? elsewhere : fitting
  const apart = open.filter((agent) => !hasSuspect(agent))
  const places = apart.length > 0 ? apart : open
  const usedAt = ({ capacity, freeCapacity: room }: Agent): number => capacity.cpuMilli - room.cpuMilli
  const leastMilli = Math.min(...places.map(usedAt))
  return places.filter((agent) => usedAt(agent) - leastMilli < need.cpuMilli)
}
