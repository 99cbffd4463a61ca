import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { RevokeSchema } from '@hazellift/protocol'
import type { TaskKey } from '@hazellift/protocol'
import type { Job } from '../jobs/job.js'
import { submissionKey, taskKey } from '../tasks/keys.js'
import type { AgentHandle } from './agentHandle.js'
import { MovedJobs } from './movedJobs.js'

/**
 * Ends runs that agents list though this entry does not want them: their jobs have ended, and
 * the request to end them was lost with a session, or the agent was not known to have runs.
 */
export class UnwantedRuns {
  private readonly moved: MovedJobs

  /**
   * @param isOpen - true while the job with this key is not finished at this entry
   */
  constructor (clock: Pick<Clock, 'now'>, private readonly isOpen: (key: string) => boolean) {
    this.moved = new MovedJobs(clock)
  }

  /** Leaves the runs of a job to the entry that has taken it over. */
  onMoved (job: Job): void {
    this.moved.add(job)
  }

  /** The job has been taken over by this entry. */
  onTakenOver ({ key }: Job): void {
    this.moved.delete(key)
  }

  /** Asks an agent to end those of its tasks that are unwanted. */
  revoke (agent: AgentHandle, listed: TaskKey[]): void {
    for (const { workspace, submission, task } of listed.filter((key) => this.isUnwanted(agent, key))) {
      const message = create(RevokeSchema, { workspace, submission, tasks: [task] })
      agent.link?.add((frame) => { frame.revokes.push(message) })
    }
  }

  private isUnwanted ({ sent }: AgentHandle, key: TaskKey): boolean {
    const job = submissionKey(key.workspace, key.submission)
    return !sent.has(taskKey(key)) && !this.isOpen(job) && !this.moved.has(job)
  }
}
