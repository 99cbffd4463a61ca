import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { CollectSchema } from '@hazellift/protocol'
import type { TaskKey } from '@hazellift/protocol'
import { TASK_STATES, isFinished } from '../jobs/job.js'
import type { Job } from '../jobs/job.js'
import { taskKey } from '../tasks/keys.js'
import type { AgentHandle } from './agentHandle.js'
import type { InFlightTasks } from './inFlightTasks.js'

/** What takeovers need. */
export interface TakeoverOptions {
  clock: Clock
  inFlight: InFlightTasks
  /** How long to wait for agents to say what they know, in ms. */
  collectTimeoutMs: number
  isOpen: (job: Job) => boolean
  /** No agent reached knows all tasks. */
  onIncomplete: (job: Job) => void
}

/**
 * Jobs taken over from a lost owner: asks agents what they know, and waits for
 * what runs. Nothing of such a job is ever started here.
 */
export class Takeovers {
  constructor (private readonly options: TakeoverOptions) {}

  /**
   * Asks every agent that can be reached.
   *
   * @param keepMs - how long agents must refuse its starts: the claim's deadline
   */
  begin (job: Job, keepMs: number, agents: AgentHandle[]): void {
    const { clock, collectTimeoutMs } = this.options
    const reachable = agents.filter(({ link, isResumed: resumed }) => link !== undefined && resumed)
    job.collecting = new Set(reachable.map(({ agentId }) => agentId))
    const message = create(CollectSchema, { workspace: job.workspace, submission: job.id, keepMs })
    for (const { link } of reachable) link!.add((frame) => { frame.collects.push(message) })
    clock.after(collectTimeoutMs, () => this.failIfIncomplete(job))
    if (reachable.length === 0) this.failIfIncomplete(job)
  }

  /** An agent said which tasks of the job it runs; results of those that ended came before. */
  onCollected (agent: AgentHandle, job: Job | undefined, running: TaskKey[]): void {
    if (job?.collecting === undefined) return
    for (const key of running) this.expectResult(agent, job, key)
    job.collecting.delete(agent.agentId)
    if (job.collecting.size === 0) this.failIfIncomplete(job)
  }

  private expectResult (agent: AgentHandle, job: Job, key: TaskKey): void {
    const task = job.tasks[key.task]
    if (task === undefined || task.state !== TASK_STATES.unknown) return
    task.state = TASK_STATES.sent
    task.agentId = agent.agentId
    this.options.inFlight.add(agent, taskKey(key), { job, task: key.task, sentAt: this.options.clock.now(), estimateMs: 0 })
  }

  private failIfIncomplete (job: Job): void {
    if (isFinished(job) || !this.options.isOpen(job)) return
    const isMissing = job.tasks.some(({ state }) => state === TASK_STATES.unknown)
    if (isMissing) this.options.onIncomplete(job)
  }
}
