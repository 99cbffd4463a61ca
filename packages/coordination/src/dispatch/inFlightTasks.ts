import type { Job } from '../jobs/job.js'
import type { AgentHandle, SentTask } from './agentHandle.js'

/** Starts in flight, by agent and counted by workspace. */
export class InFlightTasks {
  private readonly counts = new Map<string, number>()

  /** Tasks of a workspace in flight. */
  runningTasks (workspace: string): number {
    return this.counts.get(workspace) ?? 0
  }

  /** A start was sent, or is known to run. */
  add (agent: AgentHandle, key: string, sent: SentTask): void {
    agent.sent.set(key, sent)
    this.counts.set(sent.job.workspace, this.runningTasks(sent.job.workspace) + 1)
  }

  /** A start is over, or does not count any more. */
  remove (agent: AgentHandle, key: string): SentTask | undefined {
    const sent = agent.sent.get(key)
    if (sent === undefined) return undefined
    agent.sent.delete(key)
    const { workspace } = sent.job
    const remaining = this.runningTasks(workspace) - 1
    if (remaining > 0) this.counts.set(workspace, remaining)
    else this.counts.delete(workspace)
    return sent
  }

  /**
   * Forgets all starts of a job.
   *
   * @returns the agents that had one
   */
  removeJob (job: Job, agents: AgentHandle[]): AgentHandle[] {
    return agents.filter((agent) => {
      const keys = [...agent.sent].filter(([, sent]) => sent.job === job).map(([key]) => key)
      for (const key of keys) this.remove(agent, key)
      return keys.length > 0
    })
  }
}
