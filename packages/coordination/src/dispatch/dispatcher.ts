import { create } from '@bufbuild/protobuf'
import { REASONS, RevokeSchema } from '@hazellift/protocol'
import type { AgentFrame, Collected, EndpointState, Hello, TaskKey } from '@hazellift/protocol'
import { isFinished } from '../jobs/job.js'
import type { Job } from '../jobs/job.js'
import { submissionKey, taskKey } from '../tasks/keys.js'
import { createAgentHandle } from './agentHandle.js'
import type { AgentHandle } from './agentHandle.js'
import { isOutdatedHello } from '../session/isOutdatedHello.js'
import type { AgentLink, SessionDispatcher } from '../session/types.js'
import type { DispatcherOptions } from './dispatcherOptions.js'
import { InFlightTasks } from './inFlightTasks.js'
import { ServiceRegistry } from './serviceRegistry.js'
import { ServiceState } from './serviceState.js'
import { TaskEndHandler } from './taskEndHandler.js'
import { TaskSender } from './taskSender.js'
import { Takeovers } from './takeovers.js'
import { UnwantedRuns } from './unwantedRuns.js'

/**
 * Queues the tasks of one entry, sends them to agents and follows them until they end.
 *
 * Invariant: a task is in exactly one state. It leaves the state `sent` only
 * when its result arrives, when it is certain that its start was not accepted,
 * or when its job fails.
 */
export class Dispatcher implements SessionDispatcher<AgentHandle> {
  private readonly services: ServiceRegistry
  private readonly agents = new Map<string, AgentHandle>()
  private readonly jobs = new Map<string, Job>()
  private readonly inFlight = new InFlightTasks()
  private readonly takeovers: Takeovers
  private readonly unwantedRuns: UnwantedRuns
  private readonly endHandler: TaskEndHandler
  private readonly sender: TaskSender

  constructor (private readonly options: DispatcherOptions) {
    const { order, weightOf, maxRunningOf, clock, maxEjectedShare, ejectionBackoff, collectTimeoutMs, events } = options
    const mayRun = (workspace: string) => this.runningTasks(workspace) < maxRunningOf(workspace)
    this.services = new ServiceRegistry(() => new ServiceState(
      { order, weightOf, mayRun },
      { now: clock.now, maxEjectedShare, ejectionBackoff },
      options.isEvacuated))
    this.sender = new TaskSender({ ...options, inFlight: this.inFlight })
    this.endHandler = new TaskEndHandler({
      clock,
      events,
      services: this.services,
      inFlight: this.inFlight,
      jobs: this.jobs,
      onQueued: (service) => this.sender.schedule(service)
    })
    this.unwantedRuns = new UnwantedRuns(clock, (key) => this.jobs.has(key))
    this.takeovers = new Takeovers({
      clock,
      inFlight: this.inFlight,
      collectTimeoutMs,
      isOpen: ({ key }) => this.jobs.has(key),
      onIncomplete: (job) => events.failed(job, REASONS.ownerLost, 'the owner was lost and no agent reached knows all tasks')
    })
  }

  /** All known agents: those with a session, and those whose session may still resume. */
  get knownAgents (): AgentHandle[] {
    return [...this.agents.values()]
  }

  /** Number of jobs that are not finished. */
  get openJobs (): number {
    return this.jobs.size
  }

  /** The state of a service; undefined if no endpoint or job has named it. */
  service (name: string): ServiceState | undefined {
    return this.services.find(name)
  }

  /** Names of all services that an endpoint or a job has named. */
  get serviceNames (): string[] {
    return this.services.names
  }

  /** Number of tasks of a workspace that this entry has in flight. */
  runningTasks (workspace: string): number {
    return this.inFlight.runningTasks(workspace)
  }

  /** Number of tasks of a workspace that are queued at this entry. */
  queuedTasks (workspace: string): number {
    return this.services.queuedTasks(workspace)
  }

  /** Number of tasks of all workspaces that are queued at this entry. */
  get queuedTotal (): number {
    return this.services.queuedTotal
  }

  /** Queues the tasks of a job that this entry owns. */
  add (job: Job): void {
    this.jobs.set(job.key, job)
    const service = this.services.getOrCreate(job.service)
    service.queue.add(job)
    this.sender.schedule(service)
  }

  /**
   * Asks all agents which tasks of a job they know, after this entry has taken
   * the job over. No task of it is started from then on.
   *
   * @param keepMs - how long agents must refuse starts of the job, in ms: until the claim's deadline
   */
  collect (job: Job, keepMs: number): void {
    this.jobs.set(job.key, job)
    this.unwantedRuns.onTakenOver(job)
    this.takeovers.begin(job, keepMs, this.knownAgents)
  }

  /** Cancels a job: removes its queued tasks and aborts those that run. */
  drop (job: Job): void {
    const message = create(RevokeSchema, { workspace: job.workspace, submission: job.id })
    for (const agent of this.remove(job)) agent.link?.add((frame) => { frame.revokes.push(message) })
  }

  /** Forgets a job that another entry owns by now, and leaves its running tasks to that entry. */
  release (job: Job): void {
    this.remove(job)
    this.unwantedRuns.onMoved(job)
  }

  /**
   * Removes a job and its queued tasks.
   *
   * @returns the agents that had tasks of it in flight
   */
  private remove (job: Job): AgentHandle[] {
    this.services.find(job.service)?.queue.remove(job)
    job.queue = []
    this.jobs.delete(job.key)
    this.scheduleAll()
    return this.inFlight.removeJob(job, this.knownAgents)
  }

  /** True if frames that the agent sent after this hello may have arrived on another session. */
  isOutdated (hello: Hello, stampMs: number, welcomedAt: number): boolean {
    const known = this.agents.get(hello.agentId)
    return isOutdatedHello(known === undefined ? undefined : { ...known, latestStampMs: known.stampMs }, hello, stampMs, welcomedAt)
  }

  /** Handles a new session of an agent; an earlier session with it is closed. */
  open (hello: Hello, link: AgentLink): AgentHandle {
    const known = this.agents.get(hello.agentId)
    if (known !== undefined && known.incarnation !== hello.incarnation) this.onAgentLost(known)
    const agent = this.agents.get(hello.agentId) ?? createAgentHandle(hello.agentId, hello.incarnation, hello.zone, this.options.clock.now())
    this.agents.set(agent.agentId, agent)
    agent.link?.close()
    agent.cancelLossTimer?.()
    agent.cancelLossTimer = undefined
    if (agent.isResumed) agent.previousSessionStampMs = agent.stampMs
    Object.assign(agent, { link, isResumed: false, credits: 0, freeSlots: 0, reportedDemand: 0 })
    return agent
  }

  /** Handles a frame from an agent; one of a replaced session is ignored. */
  onFrame (agent: AgentHandle, link: AgentLink, frame: AgentFrame): void {
    if (agent.link !== link) return
    agent.stampMs = frame.stampMs
    agent.freeSlots = frame.free
    if (frame.endpoint !== undefined) this.setEndpoint(agent, frame.endpoint)
    if (frame.leaving) this.setLeaving(agent)
    if (frame.endsElsewhere !== undefined) this.services.find(agent.service)?.health.recordEnds(agent.agentId, frame.endsElsewhere)
    for (const result of frame.results) this.endHandler.onResult(agent, result)
    if (frame.resume !== undefined) this.onResume(agent, frame.resume.held)
    for (const collected of frame.collected) this.onCollected(agent, collected)
    if (frame.credits > 0) this.onCredits(agent, frame.credits)
    // A result may bring its workspace below its limit, which lets tasks of other services start.
    this.scheduleAll()
  }

  /** Handles the end of a session. Its tasks stay in flight until it resumes or the resume window ends. */
  closed (agent: AgentHandle, link: AgentLink): void {
    if (agent.link !== link) return
    agent.link = undefined
    agent.credits = 0
    agent.cancelLossTimer = this.options.clock.after(this.options.resumeWindowMs, () => this.onAgentLost(agent))
  }

  /** Schedules a send for every service with queued tasks, as limits or weights may have changed. */
  scheduleAll (): void {
    for (const service of this.services.withQueuedTasks) this.sender.schedule(service)
  }

  /**
   * Compares the tasks that a resumed session lists with those sent. A start
   * that is not listed was never accepted, provided that the agent cannot have
   * forgotten it: agents remember starts far longer than the resume window. The
   * time since the last session is measured on the agent's clock, as an entry
   * that was paused may read frames long after they were sent.
   *
   * @param accepted - tasks that the agent has accepted and whose results were not acknowledged
   */
  private onResume (agent: AgentHandle, accepted: TaskKey[]): void {
    agent.isResumed = true
    const acceptedKeys = new Set(accepted.map(taskKey))
    const missing = [...agent.sent].filter(([key]) => !acceptedKeys.has(key))
    const mayRequeue = agent.stampMs - agent.previousSessionStampMs <= this.options.resumeWindowMs
    for (const [key, { job, task }] of missing) {
      this.inFlight.remove(agent, key)
      if (mayRequeue) this.endHandler.onNotStarted(job, task, REASONS.lostStart)
      else this.failLostJob(job, agent)
    }
    this.unwantedRuns.revoke(agent, accepted)
    this.takeovers.onResumed(agent)
  }

  /** Handles an agent's reply about a job that was taken over. If the job has ended meanwhile, nobody wants its runs. */
  private onCollected (agent: AgentHandle, { workspace, submission, running }: Collected): void {
    const job = this.jobs.get(submissionKey(workspace, submission))
    if (job === undefined) this.unwantedRuns.revoke(agent, running)
    else this.takeovers.onCollected(agent, job, running)
  }

  /** Fails the jobs of all tasks in flight at an agent that is lost. */
  private onAgentLost (agent: AgentHandle): void {
    agent.cancelLossTimer?.()
    agent.link?.close()
    this.services.assign(agent, '')
    this.agents.delete(agent.agentId)
    for (const [key, { job }] of [...agent.sent]) {
      this.inFlight.remove(agent, key)
      this.failLostJob(job, agent)
    }
  }

  private failLostJob (job: Job, agent: AgentHandle): void {
    if (isFinished(job)) return
    this.options.events.failed(job, REASONS.agentLost, `agent ${agent.agentId} was lost with a task in its hands`)
  }

  private setEndpoint (agent: AgentHandle, { service, slots, address, standingCredits }: EndpointState): void {
    // The agent, too, has cancelled the credits that it granted for the earlier state of its endpoint.
    agent.credits = 0
    agent.reportedDemand = 0
    agent.slots = slots
    agent.standingCredits = standingCredits
    agent.address = address
    this.services.assign(agent, service)
  }

  private setLeaving (agent: AgentHandle): void {
    agent.isLeaving = true
    agent.credits = 0
    agent.link?.add((frame) => { frame.sawLeaving = true })
  }

  private onCredits (agent: AgentHandle, credits: number): void {
    agent.credits += credits
    // The agent, too, subtracts the credits that it grants from the reported demand.
    agent.reportedDemand = Math.max(0, agent.reportedDemand - credits)
    const service = this.services.find(agent.service)
    if (service !== undefined) this.sender.schedule(service)
  }
}
