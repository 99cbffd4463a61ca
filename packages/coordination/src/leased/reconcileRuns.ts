import type { TaskKey, TaskResult } from '@hazellift/protocol'
import { taskKey } from '../tasks/keys.js'
import type { SentRun } from './leasedAgent.js'

/** What an entry concludes from the tasks that an agent lists on a new session. */
export interface ReconciledRuns {
  /** Keys of starts that were sent on earlier sessions and never accepted. */
  lostStarts: string[]
  /** Tasks that run or wait at the agent though this entry does not want them to. */
  unwanted: TaskKey[]
}

/** True while a run that was sent shall go on: its job is open, and the task is not being moved. */
const isWanted = (sent: SentRun | undefined): boolean =>
  sent !== undefined && sent.job.end === undefined && !sent.job.tasks[sent.index]!.isMoving

/**
 * Compares what an agent has with what its entry wants. Requests to end runs may
 * have been lost with an earlier session, and the echoes of the new one would renew
 * the entry lease of these runs for as long as they last.
 *
 * @param sent - runs that are not confirmed terminated, by task key
 * @param held - tasks that the agent lists
 * @param results - results in the same frame; tasks that they are of have ended, though they are listed
 */
export const reconcileRuns = (sent: ReadonlyMap<string, SentRun>, held: TaskKey[], results: TaskResult[]): ReconciledRuns => {
  const heldKeys = new Set(held.map(taskKey))
  const endedKeys = new Set(results.map(({ key }) => taskKey(key!)))
  return {
    lostStarts: [...sent.keys()].filter((key) => !heldKeys.has(key)),
    unwanted: held.filter((key) => !endedKeys.has(taskKey(key)) && !isWanted(sent.get(taskKey(key))))
  }
}
