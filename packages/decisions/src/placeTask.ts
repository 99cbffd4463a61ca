/**
 * Decides which agent a task is sent to.
 *
 * Endpoints differ in speed and load, and several entries send to the same ones
 * without coordination. If every entry takes the first agent with free capacity,
 * all of them fill the same one: with ten entries and 62 agents, three of ten
 * starts find it full.
 */
import { CAPACITY_OFFER_MS } from './offerCapacity.js'
import { fits } from './types.js'
import type { JobView, Resources } from './types.js'

/** An agent as a candidate for a task. */
export interface PlaceView {
  readonly zone: string
  /** Free capacity that the agent reported, less what was sent to it since. */
  readonly freeCapacity: Readonly<Resources>
  /** When its last frame was received, in ms. */
  readonly receivedAt: number
  /** Run times at its endpoint, as a multiple of the expected ones. */
  readonly slowness: number
}

/** Conditions of a placement, besides the agents and the job. */
export interface PlaceContext<Agent> {
  /** In ms, on the clock of the agents' and the job's times. */
  readonly now: number
  /** The entry's availability zone. */
  readonly zone: string
  /** Returns random numbers in [0, 1). */
  readonly random: () => number
  /** False for agents that must not get a start now, such as those whose endpoint is ejected. */
  readonly maySend: (agent: Agent) => boolean
  /** True if a run of this task has failed there, or was too slow. */
  readonly isAvoided: (agent: Agent) => boolean
  /** Chosen if it is among the best and not nearly full, as starts that are sent together cost one message. */
  readonly preferred?: Agent | undefined
}

/** Chooses one of the agents of a job's service that accept work; undefined if the task should wait. */
export type PlaceTask = <Agent extends PlaceView>(agents: Iterable<Agent>, job: JobView, context: PlaceContext<Agent>) => Agent | undefined

/** An agent that has been silent for longer, which is a few keep-alive intervals, may be lost and gets no start. */
const MAX_SILENCE_MS = 400
/** Crossing zones costs a round trip of about a millisecond. */
const CROSS_ZONE_PENALTY_MS = 1
/** Smaller differences in observed speed are noise. */
const MIN_NOTABLE_SLOWNESS = 1.1
/** An endpoint that is slower than this is considered faulty. */
const FAULTY_SLOWNESS = 2
/** An agent's last slot, free capacity for one more such task only, is often used by another entry's start meanwhile, which costs a wait and another trip. */
const LAST_SLOT_PENALTY_MS = 6
/** Agents whose costs differ by less are considered equal. */
const TIE_MS = 0.5

/** True if the agent's free capacity is too small for two tasks of the job. */
const isLastSlot = ({ freeCapacity }: PlaceView, { need }: JobView): boolean =>
  freeCapacity.cpuMilli < 2 * need.cpuMilli || freeCapacity.memoryMb < 2 * need.memoryMb

/** Expected run time of the task at the agent plus penalties, in ms; undefined if it must not be sent there. */
const costMs = <Agent extends PlaceView>(agent: Agent, job: JobView, { now, zone, maySend, isAvoided }: PlaceContext<Agent>): number | undefined => {
  // Checked first, as most agents fail it under overload.
  if (!fits(job.need, agent.freeCapacity)) return undefined
  const isLast = isLastSlot(agent, job)
  // Scarce capacity is offered to one entry at a time, for CAPACITY_OFFER_MS.
  if (now - agent.receivedAt > (isLast ? CAPACITY_OFFER_MS : MAX_SILENCE_MS) || !maySend(agent)) return undefined
  const runMs = job.expectedMs * (agent.slowness < MIN_NOTABLE_SLOWNESS ? 1 : agent.slowness)
  // It is better to wait for another endpoint than to get an answer that is of no use.
  if (agent.slowness > FAULTY_SLOWNESS && now + runMs > job.expiresAt) return undefined
  const retryMs = isAvoided(agent) ? job.expectedMs : 0
  return runMs + retryMs + (agent.zone === zone ? 0 : CROSS_ZONE_PENALTY_MS) + (isLast ? LAST_SLOT_PENALTY_MS : 0)
}

/** Draws two agents at random and takes the one with more free capacity (power of two choices). */
const freerOfTwo = <Agent extends PlaceView>(agents: Agent[], random: () => number): Agent | undefined => {
  const draw = (): Agent | undefined => agents[Math.floor(random() * agents.length)]
  const [one, other] = [draw(), draw()]
  if (one === undefined || other === undefined) return undefined
  return other.freeCapacity.cpuMilli > one.freeCapacity.cpuMilli ? other : one
}

/**
 * Chooses the agent where the task would end soonest; of several that are equal,
 * the one with more free capacity of two drawn at random.
 *
 * @param agents - the agents of the job's service that accept work
 * @param job - the task's job
 * @param context - conditions of the placement
 */
export const placeTask: PlaceTask = <Agent extends PlaceView>(agents: Iterable<Agent>, job: JobView, context: PlaceContext<Agent>) => {
  let tied: Agent[] = []
  let bestMs = Infinity
  for (const agent of agents) {
    const ms = costMs(agent, job, context)
    if (ms === undefined || ms > bestMs + TIE_MS) continue
    if (ms < bestMs - TIE_MS) tied = []
    bestMs = Math.min(bestMs, ms)
    tied.push(agent)
  }
  const { preferred, random } = context
  if (preferred !== undefined && tied.includes(preferred) && !isLastSlot(preferred, job)) return preferred
  return freerOfTwo(tied, random)
}
