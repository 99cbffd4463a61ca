import { create } from '@bufbuild/protobuf'
import { SuspensionWatch } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { REASONS, TASK_OUTCOMES, TaskKeySchema, TaskResultSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, LeasedStart, Reason, Revoke, TaskKey, TaskOutcome } from '@hazellift/protocol'
import type { SessionHost, AddToFrame } from '../session/types.js'
import { CapacityOffers } from './capacityOffers.js'
import { EntryLeases } from './entryLeases.js'
import { HostEndpoint } from './hostEndpoint.js'
import { HostEvacuations } from './hostEvacuations.js'
import { HostSessions } from './hostSessions.js'
import { HostTasks } from './hostTasks.js'
import type { OwnedTask } from './hostTasks.js'
import { isRevoked } from './isRevoked.js'
import type { AnnouncedIncarnation, LeasedHostOptions } from './leasedHostOptions.js'
import { SpeedRecord } from './speedRecord.js'
import { verificationMs } from './times.js'

const NO_CAPACITY: Resources = { cpuMilli: 0, memoryMb: 0 }
/** Timestamp of a frame that entries must neither echo nor take for a recent one; older than all others. */
const NO_STAMP = 0

/**
 * An agent's side of ephemeral jobs, which end with their entry. The agent runs
 * tasks of an entry only under an entry lease, which the entry renews by echoing
 * the agent's own timestamps. When the lease expires, the entry's tasks are stopped
 * before the run lease at the endpoint is renewed again.
 */
export class LeasedHost implements SessionHost {
  private readonly sessions: HostSessions
  private readonly entryLeases: EntryLeases
  private readonly offers: CapacityOffers
  private readonly evacuations: HostEvacuations
  private speed: SpeedRecord
  private readonly tasks: HostTasks
  private readonly endpoint: HostEndpoint
  private isStopping = false

  constructor (private readonly options: LeasedHostOptions) {
    this.sessions = new HostSessions(options.clock)
    this.entryLeases = new EntryLeases({
      clock: options.clock,
      watch: options.watch ?? new SuspensionWatch(options.clock),
      entryLeaseMs: options.times.entryLeaseMs,
      verificationMs: verificationMs(options.times),
      isOpen: (incarnation) => this.sessions.open.has(incarnation),
      onUnverified: () => this.sessions.requestEchoes(),
      onExpired: () => this.stopExpired()
    })
    this.offers = new CapacityOffers({
      ...options, sessions: this.sessions.open, freeCapacity: () => this.freeCapacity, capacity: () => this.endpoint.capacity
    })
    this.endpoint = new HostEndpoint({
      ...options,
      beforeRenewal: () => this.stopExpired(),
      isUnverified: () => this.hasUnverifiedRuns,
      mayStart: () => !this.isClosedToStarts && !this.hasUnverifiedRuns,
      onCapacityFreed: () => this.onCapacityFreed(),
      onChange: () => this.reportEndpoint(),
      onRemoved: () => this.tasks.refuse(() => true, REASONS.endpointGone),
      busyCount: () => this.busyCount
    })
    this.tasks = new HostTasks({
      clock: options.clock,
      onDone: (runMs, expectedMs) => this.speed.observe(runMs, expectedMs),
      onOrdered: ({ owner, key }, run) =>
        options.log('start_ordered', { job: key.submission, task: key.task, attempt: key.attempt, run, entry: owner }),
      report: (...end) => this.report(...end)
    })
    this.evacuations = new HostEvacuations({ zone: options.zone, onChange: () => this.onEvacuation() })
    this.speed = new SpeedRecord(options.clock)
  }

  /** Number of tasks that run or wait here. */
  get busyCount (): number {
    return this.tasks.busyCount
  }

  /** Number of results that no entry has acknowledged yet. */
  get unacked (): number {
    return this.sessions.unacked
  }

  /** Name of the endpoint's current incarnation; undefined while there is none. */
  get endpointIncarnation (): string | undefined {
    return this.endpoint.incarnation
  }

  /** True while an operator evacuates the endpoint's availability zone. */
  get isEvacuated (): boolean {
    return this.evacuations.isEvacuated
  }

  /** Version of the agent's copy of the configuration document; 0 if it has none. */
  get configVersion (): bigint {
    return this.sessions.configVersion
  }

  /** Begins a new incarnation of the endpoint. An earlier one was retired before, unless its runs are known to have terminated. */
  setEndpoint (announced: AnnouncedIncarnation): void {
    this.speed = new SpeedRecord(this.options.clock)
    this.endpoint.begin(announced)
  }

  /** Adopts another capacity that the endpoint has announced: runs continue, and nothing starts that does not fit beside them. */
  setCapacity (capacity: Resources): void {
    this.endpoint.setCapacity(capacity)
  }

  /** Removes the endpoint, which has ended, and all of its runs with it. */
  removeEndpoint (reason: Reason): void {
    this.endpoint.remove(reason)
  }

  /** Retires the endpoint, which says that it ends, or has a successor: it gets no more work, and its runs are lost once each is confirmed terminated. */
  retireEndpoint (reason: Reason): void {
    this.endpoint.retire(reason)
  }

  /** The endpoint drains: it gets no more starts, and what runs is finished. */
  drain (): void {
    if (this.endpoint.isDraining) return
    this.endpoint.drain()
    this.leave()
  }

  /** The agent stops: no endpoint gets a start any more, and what runs is finished. */
  stop (): void {
    this.isStopping = true
    this.leave()
  }

  openSession (incarnation: string, add: AddToFrame): void {
    this.entryLeases.onSessionChange(incarnation)
    const keys = this.tasks.tasksOf(incarnation).map(({ key }) => key)
    this.options.log('resume_sent', { entry: incarnation, tasks: keys.length })
    this.sessions.begin(incarnation, add, keys, this.isLeaving)
    this.sessions.reportEndpoint(this.endpoint.state, this.isLeaving, [incarnation])
  }

  closeSession (incarnation: string, add: AddToFrame): void {
    if (this.sessions.find(incarnation, add) === undefined) return
    this.entryLeases.onSessionChange(incarnation)
    // The entry's tasks run on until its lease expires, as it may open another session before.
    this.sessions.end(incarnation)
    this.offers.forget(incarnation)
  }

  retireSession (incarnation: string, add: AddToFrame): void {
    const session = this.sessions.find(incarnation, add)
    if (session !== undefined) this.sessions.retire(session)
  }

  isBusyWith (incarnation: string): boolean {
    return this.tasks.tasksOf(incarnation).length > 0
  }

  isLoaded (incarnation: string): boolean {
    return this.sessions.open.get(incarnation)?.demandPriority !== undefined
  }

  onFrame (incarnation: string, add: AddToFrame, frame: EntryFrame): void {
    const session = this.sessions.find(incarnation, add)
    if (session === undefined) return
    this.entryLeases.renew(incarnation, frame.echoStampMs)
    this.sessions.acknowledge(incarnation, frame.ackedSeq)
    session.demandPriority = frame.wantingPriority
    session.evacuationsVersion = frame.evacuationsVersion
    this.evacuations.onFrame(frame)
    for (const revoke of frame.revokes) this.onRevoke(incarnation, revoke)
    for (const start of frame.leasedStarts) {
      session.startsSeen += start.tasks.length
      this.onStart(incarnation, start, frame.revokes)
    }
    if (frame.leasedStarts.length > 0) this.offers.onStarts(incarnation)
    this.offers.offerFreeCapacity()
    this.sessions.onConfig(session, frame)
  }

  fillFrame (incarnation: string, add: AddToFrame, frame: AgentFrame): void {
    this.entryLeases.check()
    const session = this.sessions.find(incarnation, add)
    // The entry orders sessions by the timestamps of their first frames. One that leaves after its session
    // was replaced must not count as sent after its successor's, as what it lists is from before that.
    frame.stampMs = session === undefined ? NO_STAMP : this.options.clock.now()
    this.sessions.fillFrame(incarnation, add, frame)
    this.evacuations.fillFrame(frame, session?.evacuationsVersion)
    frame.slowness = this.speed.read(this.tasks.runs)
    if (session !== undefined) this.offers.fillFrame(incarnation, session, frame)
  }

  /** Rejects waiting starts once the zone is evacuated, or offers free capacity again; what runs is finished either way. */
  private onEvacuation (): void {
    const { isEvacuated } = this.evacuations
    this.options.log(isEvacuated ? 'zone_evacuated' : 'zone_restored', { zone: this.options.zone, tasks: this.busyCount })
    if (isEvacuated) this.tasks.refuse(() => true, REASONS.zoneEvacuated)
    else this.onCapacityFreed()
  }

  private leave (): void {
    this.tasks.refuse(() => true, REASONS.endpointGone)
    this.sessions.reportLeaving()
  }

  private get isLeaving (): boolean {
    return this.isStopping || this.endpoint.isDraining
  }

  /** True while no start may go to the endpoint. */
  private get isClosedToStarts (): boolean {
    return this.isLeaving || this.evacuations.isEvacuated
  }

  private get freeCapacity (): Resources {
    if (this.isClosedToStarts || this.endpoint.supervisor === undefined) return NO_CAPACITY
    return this.tasks.waiting.capacityAfter(this.endpoint.supervisor.freeCapacity)
  }

  /** Stops runs whose entry lease has expired, and rejects waiting starts without a valid one. */
  private stopExpired (): void {
    this.entryLeases.check()
    const isExpired = ({ owner }: OwnedTask): boolean => !this.entryLeases.isValid(owner) && !this.entryLeases.isUnverified(owner)
    this.tasks.stop(isExpired, REASONS.leaseExpired, ({ owner, key }) =>
      this.options.log('entry_lease_expired', { job: key.submission, task: key.task, entry: owner }))
    this.refuseStale()
    this.sessions.sweep()
  }

  private refuseStale (): void {
    this.tasks.refuse(({ owner }) => !this.entryLeases.isValid(owner), REASONS.staleStart)
  }

  /** True while something runs under an unverified entry lease. Nothing is started then, as a start renews the run lease of everything at the endpoint. */
  private get hasUnverifiedRuns (): boolean {
    return this.tasks.isRunningFor((owner) => this.entryLeases.isUnverified(owner))
  }

  /** @param revokes - of the same frame: those of them that were added after the start apply to it as well */
  private onStart (owner: string, { workspace, submission, payload, tasks, need, waitMs, expectedMs }: LeasedStart, revokes: Revoke[]): void {
    const expiresAt = this.options.clock.now() + waitMs
    for (const { index, attempt } of tasks) {
      const key = create(TaskKeySchema, { workspace, submission, task: index, attempt })
      const refusal = revokes.some((revoke) => isRevoked(revoke, key)) ? REASONS.revoked : this.refusalOf(owner, key)
      if (refusal === undefined) this.tasks.waiting.add({ owner, key, payload, need: need ?? NO_CAPACITY, expiresAt, expectedMs })
      else this.report(owner, key, TASK_OUTCOMES.notStarted, refusal)
    }
    this.startWaiting()
    if (this.tasks.waiting.size > 0) this.options.clock.after(waitMs, () => this.expireWaiting())
  }

  private refusalOf (owner: string, key: TaskKey): Reason | undefined {
    if (!this.entryLeases.isValid(owner)) return REASONS.staleStart
    if (this.evacuations.isEvacuated) return REASONS.zoneEvacuated
    if (this.isLeaving || this.endpoint.supervisor?.acceptsStarts !== true) return REASONS.endpointGone
    return this.tasks.has(key) ? REASONS.duplicateStart : undefined
  }

  private startWaiting (): void {
    const { supervisor } = this.endpoint
    if (supervisor === undefined || this.isClosedToStarts || this.tasks.waiting.size === 0) return
    // This process may have been suspended since the starts arrived.
    this.entryLeases.check()
    this.refuseStale()
    if (!this.hasUnverifiedRuns) this.tasks.startFitting(supervisor)
  }

  private expireWaiting (now = this.options.clock.now()): void {
    this.tasks.refuse(({ expiresAt }) => expiresAt <= now, REASONS.noSlot)
  }

  private onRevoke (incarnation: string, revoke: Revoke): void {
    const { submission, tasks, lastStart } = revoke
    const matches = ({ owner, key }: OwnedTask): boolean => owner === incarnation && isRevoked(revoke, key)
    const refused = this.tasks.refuse(matches, REASONS.revoked)
    const stopped = this.tasks.stop(matches, REASONS.revoked)
    this.options.log('revoke_received', { job: submission, tasks: tasks.join(','), lastStart, entry: incarnation, refused, stopped })
  }

  private report (owner: string, key: TaskKey, outcome: TaskOutcome, reason: Reason | '', runMs = 0): void {
    const result = create(TaskResultSchema, { key, outcome, reason, runMs })
    this.options.observe(result)
    const hasMoreHere = this.tasks.tasksOf(owner).some((other) => other.key.submission === key.submission)
    this.sessions.reportResult(owner, result, outcome !== TASK_OUTCOMES.done || !hasMoreHere)
  }

  private onCapacityFreed (): void {
    this.startWaiting()
    this.offers.offerFreeCapacity()
  }

  private reportEndpoint (): void {
    this.sessions.reportEndpoint(this.endpoint.state, this.isLeaving)
  }
}
