import { create } from '@bufbuild/protobuf'
import type { Clock, Random } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { LeasedStartSchema, LeasedTaskSchema, RoomSchema, TaskKeySchema } from '@hazellift/protocol'
import { taskKey } from '../tasks/keys.js'
import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedFleet, LeasedService } from './leasedFleet.js'
import { LEASED_TASK_STATES } from './leasedJob.js'
import type { LeasedJob } from './leasedJob.js'

/** Dependencies of a LeasedSender. */
export interface LeasedSenderOptions {
  clock: Clock
  random: Random
  fleet: LeasedFleet
  /** Runs `fn` after the events that are already pending. */
  defer: (fn: () => void) => void
  /** Called when starts of tasks were sent to an agent; `freeCapacity` is what then remains there. */
  onSent: (job: LeasedJob, agentId: string, tasks: number[], freeCapacity: Resources) => void
}

/** How long a start may wait at its agent for capacity that other entries' tasks took in the meantime. */
const MAX_AGENT_WAIT_MS = 20

/**
 * Number of agents that are sent a request for capacity at a time, and the pause
 * before the next ones. Requests to all agents at once would cost a frame to each of
 * them and back even if the queue is empty a moment later.
 */
const REQUEST_BATCH = 6
const REQUEST_INTERVAL_MS = 10

/** Sends waiting tasks to agents with free capacity, in the order of their queue, and requests capacity for the rest. */
export class LeasedSender {
  private startNumber = 0

  constructor (private readonly options: LeasedSenderOptions) {}

  /** Number of the latest start sent by this process; 0 before the first. */
  get lastStart (): number {
    return this.startNumber
  }

  /** Schedules the sending of a service's waiting jobs; calls before it runs are merged into one. */
  schedule (name: string): void {
    const { fleet, defer } = this.options
    const service = fleet.serviceOf(name)
    if (service.isSendScheduled || service.queue.size === 0) return
    service.isSendScheduled = true
    defer(() => {
      service.isSendScheduled = false
      this.sendWaiting(name, service)
    })
  }

  /** Schedules the sending for all services. */
  scheduleAll (): void {
    for (const service of this.options.fleet.services.keys()) this.schedule(service)
  }

  private sendWaiting (name: string, service: LeasedService): void {
    const { queue } = service
    for (const job of queue.inOrder(this.options.clock.now(), this.options.fleet.loadOf(name))) {
      if (this.place(job)) queue.remove(job)
      // A handed-on job may wait until its origin entry is known to be alive; jobs behind it do not wait for that.
      else if (job.originEntry === undefined) break
    }
    if (queue.size > 0) this.requestCapacity(name, service)
  }

  /** Notifies some of the agents that do not know of this entry's demand; more of them as long as tasks wait. */
  private requestCapacity (name: string, service: LeasedService): void {
    const { fleet, clock, random } = this.options
    if (clock.now() - service.capacityRequestedAt < REQUEST_INTERVAL_MS) return
    service.capacityRequestedAt = clock.now()
    const uninformed = fleet.agentsOf(name).filter(({ knowsDemand }) => !knowsDemand)
    // Starts at a random agent, so that entries that lack capacity at the same time notify different ones.
    const first = Math.floor(random() * uninformed.length)
    const recipients = [...uninformed.slice(first), ...uninformed.slice(0, first)].slice(0, REQUEST_BATCH)
    for (const { link } of recipients) link?.add(() => {})
  }

  /**
   * Sends as many waiting tasks of the job as agents can take.
   *
   * @returns false if some still wait
   */
  private place (job: LeasedJob): boolean {
    const placed = new Map<LeasedAgent, number[]>()
    let preferred: LeasedAgent | undefined
    while (job.queue.length > 0) {
      const index = job.queue.at(-1)!
      const agent = this.options.fleet.choose(job, index, { preferred })
      if (agent === undefined) break
      preferred = agent
      job.queue.pop()
      agent.reserve(job.need)
      placed.set(agent, [...placed.get(agent) ?? [], index])
    }
    for (const [agent, indexes] of placed) this.send(agent, job, indexes)
    return job.queue.length === 0
  }

  private send (agent: LeasedAgent, job: LeasedJob, indexes: number[]): void {
    for (const index of indexes) this.record(agent, job, index)
    const { workspace, id, payload, need } = job
    const tasks = indexes.map((index) => create(LeasedTaskSchema, { index, attempt: job.tasks[index]!.attempt }))
    const start = create(LeasedStartSchema, {
      workspace, submission: id, payload, tasks, need: create(RoomSchema, need), waitMs: MAX_AGENT_WAIT_MS, expectedMs: Math.round(job.expectedMs)
    })
    this.options.onSent(job, agent.agentId, indexes, agent.freeCapacity)
    agent.link!.add((frame) => { frame.leasedStarts.push(start) })
  }

  /** Records a start that is being sent: from now on the task may run at the agent's endpoint. */
  private record (agent: LeasedAgent, job: LeasedJob, index: number): void {
    const { clock, fleet } = this.options
    const task = job.tasks[index]!
    const { workspace, id } = job
    // No other start has this number, also none of an earlier submission of the job, whose outcome may still arrive.
    task.attempt = this.nextStartNumber()
    const key = taskKey(create(TaskKeySchema, { workspace, submission: id, task: index, attempt: task.attempt }))
    task.state = LEASED_TASK_STATES.sent
    job.unterminatedRuns++
    job.mayHaveRun++
    const { endpointIncarnation, endpointAddress } = agent
    agent.sent.set(key, { job, index, attempt: task.attempt, sentAt: clock.now(), endpointIncarnation, endpointAddress })
    fleet.healthOf(agent)?.sent(agent.agentId)
    fleet.serviceOf(job.service).load.onStarted(job.priority, job.need.cpuMilli * job.expectedMs)
  }

  /** Numbers are 32 bits wide on the wire, and begin anew after the highest one: outcomes of starts that long ago have arrived. */
  private nextStartNumber (): number {
    this.startNumber = (this.startNumber + 1) >>> 0 || 1
    return this.startNumber
  }
}
