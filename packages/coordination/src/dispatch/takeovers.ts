import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { CollectSchema } from '@hazellift/protocol'
import type { Collect, TaskKey } from '@hazellift/protocol'
import { TASK_STATES, isFinished } from '../jobs/job.js'
import type { Job } from '../jobs/job.js'
import { taskKey } from '../tasks/keys.js'
import type { AgentHandle } from './agentHandle.js'
import type { InFlightTasks } from './inFlightTasks.js'

/** Options of `Takeovers`. */
export interface TakeoverOptions {
  clock: Clock
  inFlight: InFlightTasks
  /** How long to wait for agents to list the tasks that they know, in ms. */
  collectTimeoutMs: number
  /** True while the job is not finished at this entry. */
  isOpen: (job: Job) => boolean
  /** Called if all agents known at the takeover have answered, or the time is over, and tasks of the job are unknown. */
  onIncomplete: (job: Job) => void
}

const ask = (agent: AgentHandle, message: Collect): void =>
  agent.link?.add((frame) => { frame.collects.push(message) })

/**
 * Completes jobs that were taken over from a lost owner: asks agents which tasks
 * they know and waits for those that run. It never starts a task of such a job.
 */
export class Takeovers {
  /** The questions about jobs of which tasks are unknown, or were when it was last asked. */
  private readonly questions = new Map<Job, Collect>()

  constructor (private readonly options: TakeoverOptions) {}

  /**
   * Asks every agent which tasks of the job it knows; one without a resumed session is asked once it has one.
   *
   * @param keepMs - how long agents must refuse starts of the job, in ms: until the claim's deadline
   * @param agents - all known agents
   */
  begin (job: Job, keepMs: number, agents: AgentHandle[]): void {
    const { clock, collectTimeoutMs } = this.options
    job.collecting = new Set(agents.map(({ agentId }) => agentId))
    const message = create(CollectSchema, { workspace: job.workspace, submission: job.id, keepMs })
    this.questions.set(job, message)
    for (const agent of agents) if (agent.isResumed) ask(agent, message)
    clock.after(collectTimeoutMs, () => this.failIfIncomplete(job))
  }

  /**
   * Asks an agent on its new session about every job of which tasks are unknown: a question or a reply
   * may have been lost with an earlier session. Agents answer a repeated question like the first.
   */
  onResumed (agent: AgentHandle): void {
    for (const [job, message] of this.questions) {
      if (this.isIncomplete(job)) ask(agent, message)
      else this.questions.delete(job)
    }
  }

  /**
   * Handles an agent's list of the tasks of the job that it runs. Results of
   * tasks that ended there have arrived before.
   */
  onCollected (agent: AgentHandle, job: Job, running: TaskKey[]): void {
    if (job.collecting === undefined) return
    for (const key of running) this.expectResult(agent, job, key)
    const wasAwaited = job.collecting.delete(agent.agentId)
    // Agents that became known only later are not awaited: more of them may follow until the time is over.
    if (wasAwaited && job.collecting.size === 0) this.failIfIncomplete(job)
  }

  private expectResult (agent: AgentHandle, job: Job, key: TaskKey): void {
    const task = job.tasks[key.task]
    if (task === undefined || task.state !== TASK_STATES.unknown) return
    task.state = TASK_STATES.sent
    task.agentId = agent.agentId
    this.options.inFlight.add(agent, taskKey(key), { job, task: key.task, sentAt: this.options.clock.now(), estimateMs: 0 })
  }

  private failIfIncomplete (job: Job): void {
    this.questions.delete(job)
    if (this.isIncomplete(job)) this.options.onIncomplete(job)
  }

  private isIncomplete (job: Job): boolean {
    return !isFinished(job) && this.options.isOpen(job) && job.tasks.some(({ state }) => state === TASK_STATES.unknown)
  }
}
