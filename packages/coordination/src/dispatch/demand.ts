import type { AgentHandle } from './agentHandle.js'

/** Reports a demand to an agent with the next frame. */
const sendDemand = (agent: AgentHandle, demand: number): void => {
  agent.reportedDemand = demand
  agent.link?.add((frame) => { frame.demand = demand })
}

/**
 * Requests credits from agents with free slots, those with the most free slots first.
 *
 * @returns the demand that neither these slots nor earlier reports cover
 */
const requestFreeSlots = (agents: AgentHandle[], waiting: number): number => {
  let remaining = waiting
  for (const agent of [...agents].sort((a, b) => b.freeSlots - a.freeSlots)) {
    const requested = Math.min(remaining, Math.max(0, agent.freeSlots - agent.credits))
    if (requested > 0 && agent.reportedDemand === 0) sendDemand(agent, requested)
    remaining -= Math.max(requested, Math.min(remaining, agent.reportedDemand))
  }
  return remaining
}

/**
 * Reports to agents how many credits this entry needs. Agents with free slots
 * are asked first; the remaining demand is spread evenly, so that it is met by
 * whichever slot becomes free first. Only agents without a reported demand get
 * a message; other changes are reported with the next start (`refreshDemand`).
 *
 * @param agents - agents that accept new tasks
 * @param waiting - number of tasks that wait for a credit
 */
export const distributeDemand = (agents: AgentHandle[], waiting: number): void => {
  const remaining = requestFreeSlots(agents, waiting)
  if (remaining === 0) return
  const unreported = agents.filter(({ reportedDemand }) => reportedDemand === 0)
  const share = Math.ceil(remaining / Math.max(1, unreported.length))
  for (const agent of unreported.slice(0, remaining)) sendDemand(agent, share)
}

/**
 * Adds the current demand to a frame that is sent to the agent in any case.
 *
 * @param agent - agent to which a start was just sent
 * @param waiting - number of tasks that wait for a credit
 * @param agentCount - number of agents that share the demand
 */
export const refreshDemand = (agent: AgentHandle, waiting: number, agentCount: number): void => {
  const share = Math.floor(waiting / Math.max(1, agentCount))
  if (share !== agent.reportedDemand) sendDemand(agent, share)
}

/**
 * Returns credits beyond the standing ones, as they reserve slots for which
 * this entry has no task.
 *
 * @param agents - agents that accept new tasks
 */
export const returnExcessCredits = (agents: AgentHandle[]): void => {
  for (const agent of agents) {
    const excess = agent.credits - agent.standingCredits
    if (excess <= 0) continue
    agent.credits -= excess
    agent.link?.add((frame) => { frame.returnedCredits += excess })
    if (agent.reportedDemand > 0) sendDemand(agent, 0)
  }
}
