/**
 * Decides whether a task under which endpoints crash is still started, and where.
 *
 * A task may crash every endpoint that starts it, along with all that runs beside
 * it. Endpoints also crash for other causes: one by one, many at a time, or
 * repeatedly at the same agent.
 */
import { fits } from './types.js'
import type { Resources } from './types.js'

/** An endpoint incarnation that was lost while it ran a task. */
export interface LossView {
  /** Unique among the incarnations of all endpoints. */
  readonly incarnation: string
  /** The agent whose endpoint it was; later incarnations follow there. */
  readonly agent: string
  /** False if it only stopped answering: it may have gone on running. */
  readonly isCrash: boolean
  /** False if the endpoint had not confirmed that the task began: it may have crashed for another cause, before the order arrived. */
  readonly hasBegun: boolean
  /** Number of other agents whose endpoints crashed at about that time without running a task of the same job. */
  readonly others: number
}

/** What follows from the endpoint incarnations that were lost under a task. */
export type SuspectVerdict =
  | 'clear'
  /** The task is retried where a crash would do least harm. */
  | 'suspect'
  /** The task is not started again. */
  | 'give_up'

/** A task is given up, which means not started again, after crashes at this many agents that no outage explains. */
const UNEXPLAINED_AGENT_LIMIT = 2
/** A task is given up after this many crashes of whatever cause, unless all of them were at one agent. */
const CRASH_LIMIT = 3
/**
 * A task is given up after this many lost incarnations, also if some may not have
 * crashed, the task may not have begun at some, or all were at one agent: at most two
 * starts may follow the crash that reaches `CRASH_LIMIT`.
 */
const LOSS_LIMIT = CRASH_LIMIT + 2
/** If endpoints of this many other agents crash at about the same time, the cause is an outage and not the task. */
const OUTAGE_CRASHES = 3

const countDistinct = (losses: readonly LossView[], keyOf: (loss: LossView) => string): number => new Set(losses.map(keyOf)).size

/**
 * Judges a task by the endpoint incarnations that were lost under it.
 *
 * @param losses - in any order; one incarnation may be reported several times
 */
export const judgeSuspect = (losses: readonly LossView[]): SuspectVerdict => {
  const crashes = losses.filter(({ isCrash, hasBegun }) => isCrash && hasBegun)
  const unexplained = crashes.filter(({ others }) => others < OUTAGE_CRASHES)
  const isGivenUp = countDistinct(unexplained, ({ agent }) => agent) >= UNEXPLAINED_AGENT_LIMIT ||
    (countDistinct(crashes, ({ incarnation }) => incarnation) >= CRASH_LIMIT && countDistinct(crashes, ({ agent }) => agent) > 1) ||
    countDistinct(losses, ({ incarnation }) => incarnation) >= LOSS_LIMIT
  if (isGivenUp) return 'give_up'
  return losses.some(({ isCrash }) => isCrash) ? 'suspect' : 'clear'
}

/** An agent as a candidate for a suspect task. */
export interface LeastLoadedView {
  /** The whole capacity of its endpoint. */
  readonly capacity: Readonly<Resources>
  readonly freeCapacity: Readonly<Resources>
}

/** What is known of the candidates for a suspect task. */
export interface LeastLoadedContext<Agent> {
  /** True if a run of the task has failed there, or was too slow. */
  readonly isAvoided: (agent: Agent) => boolean
  /** True if another suspect task runs there: with two, a crash could not be attributed to either. */
  readonly hasSuspect: (agent: Agent) => boolean
}

/**
 * Finds the agents where a crash of the endpoint would affect least: those with
 * the least capacity in use. Avoided agents and those with another suspect task
 * are taken only if there are no others.
 *
 * @param agents - the agents of the task's service that accept work
 * @param need - resources that the task needs
 * @param context - what is known of the agents
 * @returns agents whose capacity in use differs from the least by less than the task's need
 */
export const leastLoaded = <Agent extends LeastLoadedView>(agents: readonly Agent[], need: Resources, { isAvoided, hasSuspect }: LeastLoadedContext<Agent>): Agent[] => {
  const fitting = agents.filter(({ freeCapacity }) => fits(need, freeCapacity))
  const notAvoided = fitting.filter((agent) => !isAvoided(agent))
  const acceptable = notAvoided.length > 0 ? notAvoided : fitting
  const withoutSuspect = acceptable.filter((agent) => !hasSuspect(agent))
  const candidates = withoutSuspect.length > 0 ? withoutSuspect : acceptable
  const usedMilli = ({ capacity, freeCapacity }: Agent): number => capacity.cpuMilli - freeCapacity.cpuMilli
  const leastMilli = Math.min(...candidates.map(usedMilli))
  return candidates.filter((agent) => usedMilli(agent) - leastMilli < need.cpuMilli)
}
