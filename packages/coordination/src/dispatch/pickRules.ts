import type { Random } from '@hazellift/common'
import type { EndpointHealth } from '../health/endpointHealth.js'
import type { AgentHandle } from './agentHandle.js'

/** What a rule may look at. */
export interface PickContext {
  zone: string
  health: EndpointHealth
  random: Random
}

/** Chooses the agent for the next start, or none if it should wait. */
export interface PickRule {
  /** True if a start is sent against a credit only. */
  needsCredit: boolean
  pick: (agents: AgentHandle[], context: PickContext) => AgentHandle | undefined
}

/** Time that crossing zones costs, in ms. */
const CROSS_ZONE_PENALTY_MS = 1
/** Below this, differences of observed speed are noise. */
const MIN_NOTABLE_SLOWNESS = 1.5
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
    // A credit alone is no slot: where none is free, a task waits better here, under its workspace's rules.
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

/** The product's rule, and the baselines that it is measured against. */
export const PICK_RULES = {
  credits: { needsCredit: true, pick: pickByCredit },
  random: { needsCredit: false, pick: pickRandom },
  two_choices: { needsCredit: false, pick: pickLessLoadedOfTwo }
} as const satisfies Record<string, PickRule>
