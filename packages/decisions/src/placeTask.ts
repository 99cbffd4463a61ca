/**
 * Where a task goes.
 *
 * Load: endpoints of unequal speed and fill, and several entries that send to
 * the same ones without asking each other. If all entries take the first with
 * room they fill the same one: with ten entries at 62 agents, three starts in
 * ten found it full.
 */
import { CAPACITY_OFFER_MS } from './offerCapacity.js'
import { fits } from './types.js'
import type { JobView, Resources } from './types.js'

/** An agent as the choice sees it. */
export interface PlaceView {
  readonly zone: string
  /** What it told to be free, less what was sent since. */
  readonly freeCapacity: Readonly<Resources>
  /** When its last frame was read. */
  readonly receivedAt: number
  /** Run times at its endpoint against the expected ones; 1 is as expected. */
  readonly slowness: number
}

/** What a choice rests on besides the agents. */
export interface PlaceContext<Place> {
  readonly now: number
  /** The entry's availability zone. */
  readonly zone: string
  /** Numbers in [0, 1). */
  readonly random: () => number
  /** False for endpoints that are set aside. */
  readonly maySend: (place: Place) => boolean
  /** True if a run of this task has failed there, or was too slow. */
  readonly isAvoided: (place: Place) => boolean
  /** Taken if it is among the best and will have room left, as starts that travel together cost one message. */
  readonly preferred?: Place | undefined
}

/** Chooses among the agents of a job's service that take work; nothing if the task should wait. */
export type PlaceTask = <Agent extends PlaceView>(agents: Iterable<Agent>, job: JobView, context: PlaceContext<Agent>) => Agent | undefined

/** An agent that was silent for longer gets no start: it may be lost. A few keep-alives long. */
const MAX_SILENCE_MS = 400
/** Crossing zones costs a round trip of about a millisecond. */
const CROSS_ZONE_PENALTY_MS = 1
/** Below this, differences of observed speed are noise. */
const MIN_NOTABLE_SLOWNESS = 1.1
/** An endpoint that is so much slower than expected has a fault. */
const FAULTY_SLOWNESS = 2
/** The last place at an agent is often taken by another entry's start meanwhile, which costs a wait and another way. */
const LAST_SLOT_PENALTY_MS = 6
/** Places whose times differ by less are alike. */
const TIE_MS = 0.5

const isLastSlot = ({ freeCapacity: room }: PlaceView, { need }: JobView): boolean =>
  room.cpuMilli < 2 * need.cpuMilli || room.memoryMb < 2 * need.memoryMb

/** How long the task would take there, with what it costs to get there; unset if it cannot go there. */
const costMs = <Agent extends PlaceView>(agent: Agent, job: JobView, { now, zone, maySend, isAvoided }: PlaceContext<Agent>): number | undefined => {
  // First what most agents fail over capacity.
  if (!fits(job.need, agent.freeCapacity)) return undefined
  const lastSlot = isLastSlot(agent, job)
  // A last place is offered to one entry at a time, for a moment.
  if (now - agent.receivedAt > (lastSlot ? CAPACITY_OFFER_MS : MAX_SILENCE_MS) || !maySend(agent)) return undefined
  const runMs = job.expectedMs * (agent.slowness < MIN_NOTABLE_SLOWNESS ? 1 : agent.slowness)
  // Waiting for another endpoint is better than a place where the answer comes too late.
  if (agent.slowness > FAULTY_SLOWNESS && now + runMs > job.expiresAt) return undefined
  const retryMs = isAvoided(agent) ? job.expectedMs : 0
  return runMs + retryMs + (agent.zone === zone ? 0 : CROSS_ZONE_PENALTY_MS) + (lastSlot ? LAST_SLOT_PENALTY_MS : 0)
}

const freerOfTwo = <Agent extends PlaceView>(agents: Agent[], random: () => number): Agent | undefined => {
  const draw = (): Agent | undefined => agents[Math.floor(random() * agents.length)]
  const [one, other] = [draw(), draw()]
  if (one === undefined || other === undefined) return undefined
  return other.freeCapacity.cpuMilli > one.freeCapacity.cpuMilli ? other : one
}

/**
 * The agent where the task would end soonest, among those with room; where
 * several are alike, the one with more room of two drawn at random.
 *
 * @param agents - those of the job's service that take work
 * @param job - whose task it is
 * @param context - what the choice rests on besides
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
  const { preferred: near, random } = context
  if (near !== undefined && tied.includes(near) && !isLastSlot(near, job)) return near
  return freerOfTwo(tied, random)
}
