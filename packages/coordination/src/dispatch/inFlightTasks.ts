import type { Job } from '../jobs/job.js'
import type { AgentHandle, SentTask } from './agentHandle.js'

/** Keeps the tasks in flight at each agent and counts them by workspace. */
export class InFlightTasks {
  private readonly counts = new Map<string, number>()

  /** Number of tasks of a workspace in flight. */
  runningTasks (workspace: string): number {
    return this.counts.get(workspace) ?? 0
  }

  /** Adds a task that was sent, or that an agent has listed as running. */
  add (agent: AgentHandle, key: string, sent: SentTask): void {
    agent.sent.set(key, sent)
    this.counts.set(sent.job.workspace, this.runningTasks(sent.job.workspace) + 1)
  }

  /**
   * Removes a task that ended or that no longer counts as in flight.
   *
   * @returns the task; undefined if it was not in flight at this agent
   */
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
   * Removes all tasks of a job.
   *
   * @returns the agents that had a task of it in flight
   */
  removeJob (job: Job, agents: AgentHandle[]): AgentHandle[] {
    return agents.filter((agent) => {
      const keys = [...agent.sent].filter(([, sent]) => sent.job === job).map(([key]) => key)
      for (const key of keys) this.remove(agent, key)
      return keys.length > 0
    })
  }
}
