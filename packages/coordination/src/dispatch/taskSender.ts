import { create } from '@bufbuild/protobuf'
import type { Clock, Random } from '@hazellift/common'
import { StartSchema, TaskKeySchema } from '@hazellift/protocol'
import { TASK_STATES } from '../jobs/job.js'
import type { Job } from '../jobs/job.js'
import { taskKey } from '../tasks/keys.js'
import type { AgentHandle } from './agentHandle.js'
import { refreshDemand, returnExcessCredits, distributeDemand } from './demand.js'
import type { InFlightTasks } from './inFlightTasks.js'
import type { PickRule } from './pickRules.js'
import type { ServiceState } from './serviceState.js'

/** What sending needs. */
export interface TaskSenderOptions {
  clock: Pick<Clock, 'now'>
  random: Random
  /** The entry's availability zone. */
  zone: string
  rule: PickRule
  inFlight: InFlightTasks
  events: { started: (job: Job, waitedMs: number) => void }
  /** Runs `fn` after the events that are ready now. */
  defer: (fn: () => void) => void
}

/** Run time of a task while none of its service has ended, in ms. */
const ASSUMED_RUN_MS = 100

/** Sends what waits in a service's queue to its agents, and tells them how much waits. */
export class TaskSender {
  constructor (private readonly options: TaskSenderOptions) {}

  /** Looks at a service's queue soon, once for whatever changes until then. */
  schedule (service: ServiceState): void {
    if (service.isSendScheduled) return
    service.isSendScheduled = true
    this.options.defer(() => {
      service.isSendScheduled = false
      this.sendQueued(service)
    })
  }

  private sendQueued (service: ServiceState): void {
    const { rule, zone, random } = this.options
    const agents = service.availableAgents
    const context = { zone, random, health: service.health }
    const receivers = new Set<AgentHandle>()
    while (service.queue.size > 0) {
      const agent = rule.pick(agents, context)
      if (agent === undefined) break
      const next = service.queue.take()
      if (next === undefined) break
      this.send(service, agent, next.job, next.task)
      receivers.add(agent)
    }
    if (rule.needsCredit) this.updateDemand(service, agents, receivers)
  }

  private updateDemand (service: ServiceState, agents: AgentHandle[], receivers: Iterable<AgentHandle>): void {
    const waiting = service.queue.runnable
    for (const agent of receivers) refreshDemand(agent, waiting, agents.length)
    if (waiting === 0) returnExcessCredits(agents)
    else distributeDemand(agents.filter(({ agentId }) => service.health.maySend(agentId)), waiting)
  }

  private send (service: ServiceState, agent: AgentHandle, job: Job, index: number): void {
    const task = job.tasks[index]!
    const now = this.options.clock.now()
    const estimateMs = service.health.meanMs || ASSUMED_RUN_MS
    const key = create(TaskKeySchema, { workspace: job.workspace, submission: job.id, task: index, attempt: task.failures })
    const start = create(StartSchema, { key, payload: task.payload, stampMs: agent.stampMs, leaseMs: job.leaseMs })
    task.state = TASK_STATES.sent
    task.agentId = agent.agentId
    job.mayHaveRun++
    if (this.options.rule.needsCredit) agent.credits--
    agent.freeSlots--
    this.options.inFlight.add(agent, taskKey(key), { job, task: index, sentAt: now, estimateMs })
    service.health.sent(agent.agentId)
    service.queue.charge(job.workspace, estimateMs)
    agent.link!.add((frame) => { frame.starts.push(start) })
    this.options.events.started(job, now - task.queuedAt)
  }
}
