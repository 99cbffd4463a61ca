import type { MoveRun } from '@hazellift/decisions'
import type { LeasedAgent, SentRun } from './leasedAgent.js'
import type { LeasedFleet } from './leasedFleet.js'
import type { RunTimes } from './runTimes.js'

/** A run that takes far longer than others of its kind, with the agent that runs it. */
export interface Straggler extends SentRun {
  agent: LeasedAgent
}

/** An agent with runs sends a frame every 150 ms; after a longer silence in ms, results may be waiting there, and a revoke would not arrive. */
const MAX_SILENCE_MS = 200

/**
 * Finds the runs to move to another agent. A task is moved at most once, not after one
 * of its starts was refused or failed, and only if another agent has free capacity.
 *
 * @param fleet - agents with the runs sent to them
 * @param runTimes - usual run times by kind
 * @param now - in ms, on the clock of `sentAt`
 * @param move - decides whether a single run is a straggler
 */
export const findStragglers = (fleet: LeasedFleet, runTimes: RunTimes, now: number, move: MoveRun): Straggler[] => {
  const isStraggler = ({ slowness }: LeasedAgent, { job, sentAt }: SentRun): boolean => move({
    elapsedMs: now - sentAt,
    expectedMs: job.expectedMs,
    longestRunMs: job.longestRunMs,
    usualMs: runTimes.expect(job.kind, 0),
    slowness
  })
  const isHeard = ({ link, isResumed, receivedAt }: LeasedAgent): boolean => link !== undefined && isResumed && now - receivedAt <= MAX_SILENCE_MS
  return [...fleet.agents.values()].filter(isHeard).flatMap((agent) => [...agent.sent.values()]
    .filter((sent) => {
      const { job, index } = sent
      const { isMoving, avoidedAgents } = job.tasks[index]!
      if (job.end !== undefined || isMoving || avoidedAgents.size > 0) return false
      return isStraggler(agent, sent) && fleet.choose(job, index, { except: agent }) !== undefined
    })
    .map((sent) => ({ ...sent, agent })))
}
