import type { AgentHandle } from './agentHandle.js'

const sendDemand = (agent: AgentHandle, demand: number): void => {
  agent.reportedDemand = demand
  agent.link?.add((frame) => { frame.demand = demand })
}

/** Asks agents for the free slots that they are known to have; gives what remains to ask for. */
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
 * Tells agents how many credits this entry wants: first those known to have
 * free slots, then all alike, for whatever becomes free first. A message goes
 * out only to agents that were told nothing; lesser changes travel with starts.
 *
 * @param agents - those that take new work
 * @param waiting - tasks that wait for a credit
 */
export const distributeDemand = (agents: AgentHandle[], waiting: number): void => {
  const remaining = requestFreeSlots(agents, waiting)
  if (remaining === 0) return
  const unreported = agents.filter(({ reportedDemand: toldDemand }) => toldDemand === 0)
  const share = Math.ceil(remaining / Math.max(1, unreported.length))
  for (const agent of unreported.slice(0, remaining)) sendDemand(agent, share)
}

/**
 * Adds the demand to a frame that goes to the agent anyway.
 *
 * @param agent - where a start was just sent
 * @param waiting - tasks that wait for a credit
 * @param agentCount - agents that share the demand
 */
export const refreshDemand = (agent: AgentHandle, waiting: number, agentCount: number): void => {
  const share = Math.floor(waiting / Math.max(1, agentCount))
  if (share !== agent.reportedDemand) sendDemand(agent, share)
}

/**
 * Gives back credits that reserve slots which this entry has no task for.
 *
 * @param agents - those that take new work
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
