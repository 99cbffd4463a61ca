import type { AgentHandle } from './agentHandle.js'

/** Agents asked even for a single waiting task, as the first may have no slot free. */
const MIN_ASKED = 2

const tell = (agent: AgentHandle, demand: number): void => {
  agent.toldDemand = demand
  agent.link?.add((frame) => { frame.demand = demand })
}

/**
 * Tells agents how many credits this entry wants. A message goes out only
 * where an agent's last word is off by so much that it would misjudge: from
 * nothing to something. Lesser changes travel with starts.
 *
 * @param agents - those that take new work
 * @param waiting - tasks that wait for a credit
 */
export const spreadDemand = (agents: AgentHandle[], waiting: number): void => {
  if (waiting === 0 || agents.length === 0) return
  const asked = Math.min(agents.length, Math.max(waiting, MIN_ASKED))
  const share = Math.ceil(waiting / asked)
  const byFree = [...agents].sort((a, b) => b.free - a.free || b.slots - a.slots)
  for (const agent of byFree.slice(0, asked)) {
    if (agent.toldDemand === 0) tell(agent, share)
  }
}

/**
 * Adds the demand to a frame that goes to the agent anyway.
 *
 * @param agent - where a start was just sent
 * @param waiting - tasks that wait for a credit
 * @param agentCount - agents that share the demand
 */
export const refreshDemand = (agent: AgentHandle, waiting: number, agentCount: number): void => {
  const share = Math.ceil(waiting / Math.max(1, agentCount))
  if (share !== agent.toldDemand) tell(agent, share)
}
