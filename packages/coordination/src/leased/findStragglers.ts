import type { MoveRun } from '@hazellift/decisions'
import type { LeasedAgent, SentRun } from './leasedAgent.js'
import type { LeasedFleet } from './leasedFleet.js'
import type { RunTimes } from './runTimes.js'

/** A run that takes far longer than others of its kind, and its agent. */
export interface Straggler extends SentRun {
  agent: LeasedAgent
}

/**
 * Runs to move: each once, and only where another agent has room.
 *
 * @param fleet - agents with what was sent to them
 * @param runTimes - usual run times by kind
 * @param now - on the clock that the sending times were read from
 * @param move - decides on a run by itself
 */
export const findStragglers = (fleet: LeasedFleet, runTimes: RunTimes, now: number, move: MoveRun): Straggler[] => {
  const isStraggler = ({ slowness }: LeasedAgent, { job, sentAt }: SentRun): boolean => move({
    elapsedMs: now - sentAt,
    expectedMs: job.expectedMs,
    longestRunMs: job.longestRunMs,
    usualMs: runTimes.expect(job.kind, 0),
    slowness
  })
  return [...fleet.agents.values()].flatMap((agent) => [...agent.sent.values()]
    .filter((sent) => {
      const { job, index } = sent
      const { isMoving, avoidedAgents: avoid } = job.tasks[index]!
      if (job.end !== undefined || isMoving || avoid.size > 0) return false
      return isStraggler(agent, sent) && fleet.choose(job, index, { except: agent }) !== undefined
    })
    .map((sent) => ({ ...sent, agent })))
}
