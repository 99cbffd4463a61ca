import { create } from '@bufbuild/protobuf'
import { CollectedSchema, EndpointStateSchema, REASONS, ResumeSchema, TASK_OUTCOMES, TaskResultSchema } from '@hazellift/protocol'
import type { AgentFrame, Collect, EndpointState, EntryFrame, Reason, Start, TaskKey } from '@hazellift/protocol'
import type { AddToFrame, SessionHost } from '../session/types.js'
import { SlotGranter } from '../slots/slotGranter.js'
import { isRetryOf, rememberedResult } from './rememberedResult.js'
import type { AttemptEnd, TaskHostOptions } from './taskHostOptions.js'
import { TaskLedger } from './taskLedger.js'
import type { TaskRecord } from './taskLedger.js'
import { TaskSessions } from './taskSessions.js'

interface WaitingStart {
  entry: TaskRecord
  start: Start
  owner: string
}

const NO_ENDPOINT = create(EndpointStateSchema)

/**
 * An agent's side of all its sessions: accepts starts against credits, runs
 * them, and keeps results until they are acknowledged.
 */
export class TaskHost implements SessionHost {
  private readonly ledger: TaskLedger
  private readonly granter: SlotGranter
  private readonly sessions: TaskSessions
  private readonly waitingStarts: WaitingStart[] = []
  private endpoint = NO_ENDPOINT
  private running = 0
  private leaving = false

  constructor (private readonly options: TaskHostOptions) {
    const { clock, memoryMs, standingCredits, maxAnswerSize } = options
    this.ledger = new TaskLedger(memoryMs, clock.now, maxAnswerSize)
    this.granter = new SlotGranter(standingCredits)
    this.sessions = new TaskSessions(clock)
  }

  /** Tasks that run or wait here. */
  get busy (): number {
    return this.running + this.waitingStarts.length
  }

  /** True once every entry with a session knows that this agent is leaving. */
  get isLeavingKnown (): boolean {
    return this.sessions.haveAllSeenLeaving
  }

  /** Results that no entry has acknowledged yet. */
  get unacked (): number {
    return this.sessions.unacked
  }

  /**
   * A session with an entry's incarnation is open. An earlier one with the
   * same incarnation has been closed: nothing it may still carry is accepted.
   */
  openSession (incarnation: string, add: AddToFrame): void {
    this.sessions.begin(incarnation, add)
    this.granter.addEntry(incarnation)
    const unacked = this.sessions.unackedOf(incarnation)
    const started = this.ledger.startsOf(incarnation)
    const held = [...started.filter(({ result }) => result === undefined), ...unacked].map(({ key }) => key!)
    add((frame) => {
      frame.resume = create(ResumeSchema, { held })
      frame.endpoint = this.endpoint
      frame.leaving = this.leaving
    })
    for (const result of unacked) this.sessions.report(incarnation, result)
    for (const entry of started) if (entry.recipient !== incarnation) this.reportTakenOver(incarnation, entry.key)
    this.grant((entry) => entry === incarnation)
  }

  /** The session ended; its credits are void. Running tasks run on. */
  closeSession (incarnation: string, add: AddToFrame): void {
    if (!this.sessions.isLatest(incarnation, add)) return
    this.sessions.end(incarnation)
    this.granter.removeEntry(incarnation)
    this.grant()
  }

  /** Handles what an entry sent on an open session. */
  onFrame (incarnation: string, add: AddToFrame, frame: EntryFrame): void {
    // A frame of a closed session may hold starts that its entry has sent elsewhere since.
    if (!this.sessions.isLatest(incarnation, add)) return
    this.sessions.onFrame(incarnation, frame)
    if (frame.returnedCredits > 0) this.granter.returnCredits(incarnation, frame.returnedCredits)
    for (const start of frame.starts) this.onStart(incarnation, start)
    for (const { workspace, submission, tasks } of frame.revokes) this.onRevoke(incarnation, workspace, submission, tasks)
    for (const collect of frame.collects) this.onCollect(incarnation, collect)
    if (frame.demand !== undefined) this.granter.setDemand(incarnation, frame.demand)
    this.grant()
  }

  /** The endpoint announced itself, changed or left (no service). */
  setEndpoint (endpoint: EndpointState | undefined): void {
    this.endpoint = endpoint === undefined ? NO_ENDPOINT : { ...endpoint, standingCredits: this.options.standingCredits }
    this.granter.setSlots(this.leaving ? 0 : this.endpoint.slots)
    this.sessions.addToAll((frame) => {
      frame.endpoint = this.endpoint
      frame.credits = 0
    })
    if (this.endpoint.service === '') this.refuseWaiting()
    this.grant(() => true)
  }

  /** Takes no new work from now on; what runs is finished. */
  leave (): void {
    this.leaving = true
    this.granter.setSlots(0)
    this.sessions.addToAll((frame) => {
      frame.leaving = true
      frame.credits = 0
    })
    this.refuseWaiting()
  }

  /** Aborts what still runs, for a stop whose grace time is over. */
  abortAll (): TaskKey[] {
    const running = this.ledger.records().filter(({ abort }) => abort !== undefined)
    for (const { abort } of running) abort?.(REASONS.stopCut)
    return running.map(({ key }) => key)
  }

  /** A frame on every session, so that entries see this agent and a fresh stamp. */
  keepAlive (): void {
    this.sessions.addToAll(() => {})
  }

  /** Forgets what is old enough. */
  sweep (): void {
    this.ledger.sweep()
    this.sessions.sweep(this.options.memoryMs)
  }

  /** Fills in what every frame carries. */
  fillFrame (incarnation: string, frame: AgentFrame): void {
    frame.stampMs = this.options.clock.now()
    frame.free = this.granter.freeSlotsFor(incarnation)
    const ends = this.sessions.takeEndsElsewhere(incarnation)
    if (ends !== undefined) frame.endsElsewhere = ends
  }

  private onStart (incarnation: string, start: Start): void {
    const key = start.key!
    const known = this.ledger.find(key)
    if (known !== undefined && !isRetryOf(known, key)) return this.onDuplicate(incarnation, known)
    const refusal = this.refusalOf(key, start)
    if (refusal !== undefined) {
      // A refused start used its credit all the same.
      if (this.granter.accept(incarnation)) this.granter.release(incarnation)
      return this.refuseStart(incarnation, key, refusal)
    }
    if (!this.granter.accept(incarnation)) {
      if (this.waitingStarts.length >= this.options.overflowQueue) return this.refuseStart(incarnation, key, REASONS.noSlot)
      this.granter.acceptOverflow(incarnation)
    }
    const entry: TaskRecord = { key, origin: incarnation, recipient: incarnation }
    this.ledger.add(entry)
    this.waitingStarts.push({ entry, start, owner: incarnation })
    this.runWaiting()
  }

  private refusalOf (key: TaskKey, start: Start): Reason | undefined {
    const collector = this.ledger.collectorOf(key.workspace, key.submission)
    if (collector !== undefined) return REASONS.takenOver
    if (this.ledger.isRevoked(key)) return REASONS.revoked
    if (this.options.clock.now() - start.stampMs > this.options.startAgeMs) return REASONS.staleStart
    if (this.leaving || this.endpoint.service === '') return REASONS.endpointGone
    return undefined
  }

  private onDuplicate (incarnation: string, known: TaskRecord): void {
    if (known.recipient !== incarnation) return this.reportTakenOver(incarnation, known.key)
    const result = rememberedResult(known)
    if (result !== undefined) this.sessions.deliver(incarnation, result)
  }

  private refuseStart (incarnation: string, key: TaskKey, reason: Reason): void {
    this.sessions.deliver(incarnation, create(TaskResultSchema, { key, outcome: TASK_OUTCOMES.notStarted, reason }))
  }

  private reportTakenOver (incarnation: string, key: TaskKey): void {
    this.sessions.deliver(incarnation, create(TaskResultSchema, {
      key, outcome: TASK_OUTCOMES.failed, reason: REASONS.takenOver
    }))
  }

  private runWaiting (): void {
    // Never more than the slots run at once; what standing credits brought beyond that waits.
    while (this.waitingStarts.length > 0 && this.running < this.endpoint.slots) void this.run(this.waitingStarts.shift()!)
  }

  private async run ({ entry, start, owner }: WaitingStart): Promise<void> {
    const { clock, runAttempt } = this.options
    const controller = new AbortController()
    let abortReason: string | undefined
    entry.abort = (reason) => {
      abortReason ??= reason
      controller.abort()
    }
    const cancelLease = clock.after(start.leaseMs, () => entry.abort?.(REASONS.leaseExpired))
    this.running++
    const startedAt = clock.now()
    const end = await runAttempt(start, this.endpoint, controller.signal)
    cancelLease()
    this.running--
    const isAborted = abortReason !== undefined && end.outcome === TASK_OUTCOMES.failed
    const runMs = Math.round(clock.now() - startedAt)
    this.end(entry, owner, { ...end, reason: isAborted ? abortReason as Reason : end.reason }, runMs)
  }

  private end (entry: TaskRecord, owner: string, end: AttemptEnd, runMs: number): void {
    const result = create(TaskResultSchema, { key: entry.key, ...end, runMs })
    this.granter.release(owner)
    this.options.onResult?.(result)
    // A start that did not happen must not stand in the way of one that the entry may send again.
    if (end.outcome === TASK_OUTCOMES.notStarted) this.ledger.remove(entry.key)
    else this.ledger.finish(entry, result)
    this.sessions.countForOthers(entry.recipient, result)
    this.sessions.deliver(entry.recipient, result)
    this.runWaiting()
    this.grant((incarnation) => incarnation === entry.recipient, entry.recipient)
  }

  private onRevoke (incarnation: string, workspace: string, submission: string, tasks: number[]): void {
    // An owner that lost its claim must not end what the new owner waits for.
    const collector = this.ledger.collectorOf(workspace, submission)
    if (collector !== undefined && collector !== incarnation) return
    const started = this.ledger.revoke(workspace, submission, tasks)
    this.refuseWaitingOf(new Set(started))
    for (const { abort } of started) abort?.(REASONS.revoked)
  }

  private onCollect (incarnation: string, { workspace, submission, keepMs }: Collect): void {
    const startedBefore = this.ledger.revoke(workspace, submission, [])
    this.refuseWaitingOf(new Set(startedBefore))
    const started = this.ledger.collect(workspace, submission, incarnation, keepMs)
    for (const { origin, key } of started) if (origin !== incarnation) this.reportTakenOver(origin, key)
    for (const result of started.map(rememberedResult)) if (result !== undefined) this.sessions.deliver(incarnation, result)
    const running = started.filter(({ result }) => result === undefined).map(({ key }) => key)
    this.sessions.add(incarnation, (frame) => {
      frame.collected.push(create(CollectedSchema, { workspace, submission, running }))
    })
  }

  private refuseWaiting (): void {
    this.refuseWaitingOf(new Set(this.waitingStarts.map(({ entry }) => entry)), REASONS.endpointGone)
  }

  private refuseWaitingOf (entries: Set<TaskRecord>, reason: Reason = REASONS.revoked): void {
    const refused = this.waitingStarts.filter(({ entry }) => entries.has(entry))
    for (const waiting of refused) {
      this.waitingStarts.splice(this.waitingStarts.indexOf(waiting), 1)
      this.end(waiting.entry, waiting.owner, { outcome: TASK_OUTCOMES.notStarted, reason, body: '' }, 0)
    }
  }

  /** Sends out the next credits; `renews` names the entries that hear from this agent anyway. */
  private grant (renews: (entry: string) => boolean = () => false, hears?: string): void {
    for (const { entry, credits } of this.granter.plan(renews, hears)) {
      this.sessions.add(entry, (frame) => { frame.credits += credits })
    }
  }
}
