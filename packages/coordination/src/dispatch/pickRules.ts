import type { Random } from '@hazellift/common'
import type { EndpointHealth } from '../health/endpointHealth.js'
import type { AgentHandle } from './agentHandle.js'

/** Facts that a pick rule may use beside the agents. */
export interface PickContext {
  /** Availability zone of the entry. */
  zone: string
  health: EndpointHealth
  random: Random
}

/** Chooses the agent for the next start; undefined if the task should stay queued. */
export interface PickRule {
  /** True if each start needs a credit of the agent. */
  needsCredit: boolean
  pick: (agents: AgentHandle[], context: PickContext) => AgentHandle | undefined
}

/** Added to the expected time at an agent of another availability zone, in ms. */
const CROSS_ZONE_PENALTY_MS = 1
/** Smaller values of slowness are treated as noise. */
const MIN_NOTABLE_SLOWNESS = 1.5
/** Assumed run time of a task until one of its service has ended, in ms. */
const ASSUMED_RUN_MS = 100

const expectedMs = (agent: AgentHandle, { zone, health }: PickContext): number => {
  const slowness = health.slownessOf(agent.agentId)
  const factor = slowness < MIN_NOTABLE_SLOWNESS ? 1 : slowness
  return factor * (health.meanMs || ASSUMED_RUN_MS) + (agent.zone === zone ? 0 : CROSS_ZONE_PENALTY_MS)
}

const pickByCredit = (agents: AgentHandle[], context: PickContext): AgentHandle | undefined => {
  let best: AgentHandle | undefined
  let bestMs = Infinity
  for (const agent of agents) {
    // A standing credit reserves no slot. While no slot is free, the task stays here, where the order and limits of workspaces apply.
    if (agent.credits === 0 || agent.freeSlots <= 0 || !context.health.maySend(agent.agentId)) continue
    const ms = expectedMs(agent, context)
    const isBetter = ms < bestMs || (ms === bestMs && agent.freeSlots > best!.freeSlots)
    if (!isBetter) continue
    best = agent
    bestMs = ms
  }
  return best
}

const pickRandom = (agents: AgentHandle[], { random }: PickContext): AgentHandle | undefined =>
  agents[Math.floor(random() * agents.length)]

const pickLessLoadedOfTwo = (agents: AgentHandle[], context: PickContext): AgentHandle | undefined => {
  const first = pickRandom(agents, context)
  const second = pickRandom(agents, context)
  return first !== undefined && second !== undefined && second.sent.size < first.sent.size ? second : first
}

/** The rule of the product (`credits`) and the baselines for measurements. */
export const PICK_RULES = {
  credits: { needsCredit: true, pick: pickByCredit },
  random: { needsCredit: false, pick: pickRandom },
  two_choices: { needsCredit: false, pick: pickLessLoadedOfTwo }
} as const satisfies Record<string, PickRule>
