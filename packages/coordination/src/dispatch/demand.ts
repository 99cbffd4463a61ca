import type { AgentHandle } from './agentHandle.js'

const tell = (agent: AgentHandle, demand: number): void => {
  agent.toldDemand = demand
  agent.link?.add((frame) => { frame.demand = demand })
}

/** Asks agents for the free slots that they are known to have; gives what remains to ask for. */
const askForFree = (agents: AgentHandle[], waiting: number): number => {
  let rest = waiting
  for (const agent of [...agents].sort((a, b) => b.free - a.free)) {
    const asked = Math.min(rest, Math.max(0, agent.free - agent.credits))
    if (asked > 0 && agent.toldDemand === 0) tell(agent, asked)
    rest -= Math.max(asked, Math.min(rest, agent.toldDemand))
  }
  return rest
}

/**
 * Tells agents how many credits this entry wants: first those known to have
 * free slots, then all alike, for whatever becomes free first. A message goes
 * out only to agents that were told nothing; lesser changes travel with starts.
 *
 * @param agents - those that take new work
 * @param waiting - tasks that wait for a credit
 */
export const spreadDemand = (agents: AgentHandle[], waiting: number): void => {
  const rest = askForFree(agents, waiting)
  if (rest === 0) return
  const untold = agents.filter(({ toldDemand }) => toldDemand === 0)
  const share = Math.ceil(rest / Math.max(1, untold.length))
  for (const agent of untold.slice(0, rest)) tell(agent, share)
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
  if (share !== agent.toldDemand) tell(agent, share)
}

/**
 * Gives back credits that reserve slots which this entry has no task for.
 *
 * @param agents - those that take new work
 */
export const returnExcess = (agents: AgentHandle[]): void => {
  for (const agent of agents) {
    const excess = agent.credits - agent.standingCredits
    if (excess <= 0) continue
    agent.credits -= excess
    agent.link?.add((frame) => { frame.returnedCredits += excess })
    if (agent.toldDemand > 0) tell(agent, 0)
  }
}
