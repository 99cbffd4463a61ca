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
  record: TaskRecord
  start: Start
  /** Incarnation of the entry that sent the start; its slot is counted there. */
  sender: string
}

const NO_ENDPOINT = create(EndpointStateSchema)

/**
 * An agent's side of all its sessions: accepts starts against credits, runs
 * them at the endpoint, and stores results until entries acknowledge them.
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

  /** Number of tasks that run or wait for a slot at this agent. */
  get busy (): number {
    return this.running + this.waitingStarts.length
  }

  /** True once every entry with a session knows that this agent is leaving. */
  get isLeavingKnown (): boolean {
    return this.sessions.haveAllSeenLeaving
  }

  /** Number of results that are not acknowledged yet. */
  get unacked (): number {
    return this.sessions.unacked
  }

  /**
   * Begins a session with an entry's incarnation: lists the entry's starts that
   * run, wait or have an unacknowledged result here, and grants credits. An
   * earlier session with the same incarnation has been closed, and frames that
   * it may still carry are not accepted.
   *
   * @param add - changes the next frame that is sent on the session
   */
  openSession (incarnation: string, add: AddToFrame): void {
    this.sessions.begin(incarnation, add)
    this.granter.addEntry(incarnation)
    const unacked = this.sessions.unackedOf(incarnation)
    const started = this.ledger.startsOf(incarnation)
    const accepted = [...started.filter(({ result }) => result === undefined), ...unacked].map(({ key }) => key!)
    add((frame) => {
      frame.resume = create(ResumeSchema, { held: accepted })
      frame.endpoint = this.endpoint
      frame.leaving = this.leaving
    })
    for (const result of unacked) this.sessions.report(incarnation, result)
    for (const record of started) if (record.recipient !== incarnation) this.reportTakenOver(incarnation, record.key)
    this.grant((entry) => entry === incarnation)
  }

  /** Ends a session, whose unused credits become void. Tasks that run go on. */
  closeSession (incarnation: string, add: AddToFrame): void {
    if (!this.sessions.isLatest(incarnation, add)) return
    this.sessions.end(incarnation)
    this.granter.removeEntry(incarnation)
    this.grant()
  }

  /** Handles a frame that an entry sent on its session. */
  onFrame (incarnation: string, add: AddToFrame, frame: EntryFrame): void {
    // A frame of a closed session may contain starts that its entry has since sent to other agents.
    if (!this.sessions.isLatest(incarnation, add)) return
    this.sessions.onFrame(incarnation, frame)
    if (frame.returnedCredits > 0) this.granter.returnCredits(incarnation, frame.returnedCredits)
    for (const start of frame.starts) this.onStart(incarnation, start)
    for (const { workspace, submission, tasks } of frame.revokes) this.onRevoke(incarnation, workspace, submission, tasks)
    for (const collect of frame.collects) this.onCollect(incarnation, collect)
    if (frame.demand !== undefined) this.granter.setDemand(incarnation, frame.demand)
    this.grant()
  }

  /**
   * Adopts the state of the endpoint and reports it to all entries.
   *
   * @param endpoint - `undefined` or without a service if the endpoint has left
   */
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

  /** Accepts no starts from now on and refuses those that wait; tasks that run are finished. */
  leave (): void {
    this.leaving = true
    this.granter.setSlots(0)
    this.sessions.addToAll((frame) => {
      frame.leaving = true
      frame.credits = 0
    })
    this.refuseWaiting()
  }

  /**
   * Aborts the tasks that still run, when the grace time of a stop has passed.
   *
   * @returns the tasks aborted
   */
  abortAll (): TaskKey[] {
    const running = this.ledger.records().filter(({ abort }) => abort !== undefined)
    for (const { abort } of running) abort?.(REASONS.stopCut)
    return running.map(({ key }) => key)
  }

  /** Sends a frame on every session, so that entries see that this agent is alive and get a fresh timestamp. */
  keepAlive (): void {
    this.sessions.addToAll(() => {})
  }

  /** Forgets starts, revokes and results that are older than `memoryMs`. */
  sweep (): void {
    this.ledger.sweep()
    this.sessions.sweep(this.options.memoryMs)
  }

  /** Fills in the fields that every frame has. */
  fillFrame (incarnation: string, add: AddToFrame, frame: AgentFrame): void {
    frame.stampMs = this.options.clock.now()
    frame.free = this.granter.freeSlotsFor(incarnation)
    // The entry would take a first frame that leaves now for that of a later session, and what it lists is from before.
    if (this.sessions.isReplaced(incarnation, add)) delete frame.hello
    // A replaced session's last frame, which the entry does not handle, must not take them from its successor.
    const ends = this.sessions.isLatest(incarnation, add) ? this.sessions.takeEndsElsewhere(incarnation) : undefined
    if (ends !== undefined) frame.endsElsewhere = ends
  }

  private onStart (incarnation: string, start: Start): void {
    const key = start.key!
    const known = this.ledger.find(key)
    if (known !== undefined && !isRetryOf(known, key)) return this.onDuplicate(incarnation, known)
    const refusal = this.refusalOf(key, start)
    if (refusal !== undefined) {
      // A start uses its credit even if it is refused.
      if (this.granter.accept(incarnation)) this.granter.release(incarnation)
      return this.refuseStart(incarnation, key, refusal)
    }
    if (!this.granter.accept(incarnation)) {
      if (this.waitingStarts.length >= this.options.overflowQueue) return this.refuseStart(incarnation, key, REASONS.noSlot)
      this.granter.acceptOverflow(incarnation)
    }
    const record: TaskRecord = { key, origin: incarnation, recipient: incarnation }
    this.ledger.add(record)
    this.waitingStarts.push({ record, start, sender: incarnation })
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
    // At most as many tasks as there are slots run at once; starts beyond that, by standing credits, wait.
    while (this.waitingStarts.length > 0 && this.running < this.endpoint.slots) void this.run(this.waitingStarts.shift()!)
  }

  private async run ({ record, start, sender }: WaitingStart): Promise<void> {
    const { clock, runAttempt } = this.options
    const controller = new AbortController()
    let abortReason: string | undefined
    record.abort = (reason) => {
      abortReason ??= reason
      controller.abort()
    }
    const cancelLease = clock.after(start.leaseMs, () => record.abort?.(REASONS.leaseExpired))
    this.running++
    const startedAt = clock.now()
    const end = await runAttempt(start, this.endpoint, controller.signal)
    cancelLease()
    this.running--
    const isAborted = abortReason !== undefined && end.outcome === TASK_OUTCOMES.failed
    const runMs = Math.round(clock.now() - startedAt)
    this.end(record, sender, { ...end, reason: isAborted ? abortReason as Reason : end.reason }, runMs)
  }

  private end (record: TaskRecord, sender: string, end: AttemptEnd, runMs: number): void {
    const result = create(TaskResultSchema, { key: record.key, ...end, runMs })
    this.granter.release(sender)
    this.options.onResult?.(result)
    // Forgotten, because the entry may send this start again, which would otherwise be ignored as a duplicate.
    if (end.outcome === TASK_OUTCOMES.notStarted) this.ledger.remove(record.key)
    else this.ledger.finish(record, result)
    this.sessions.countForOthers(record.recipient, result)
    this.sessions.deliver(record.recipient, result)
    this.runWaiting()
    this.grant((entry) => entry === record.recipient, record.recipient)
  }

  private onRevoke (incarnation: string, workspace: string, submission: string, tasks: number[]): void {
    // An entry that lost its claim must not abort tasks whose results the new owner waits for.
    const collector = this.ledger.collectorOf(workspace, submission)
    if (collector !== undefined && collector !== incarnation) return
    const started = this.ledger.revoke(workspace, submission, tasks)
    this.refuseWaitingOf(new Set(started))
    for (const { abort } of started) abort?.(REASONS.revoked)
  }

  private onCollect (incarnation: string, { workspace, submission, keepMs }: Collect): void {
    const startedBefore = this.ledger.revoke(workspace, submission, [])
    // Their owner must not take them for revoked ones and send them to agents that were not asked yet.
    this.refuseWaitingOf(new Set(startedBefore), REASONS.takenOver)
    const started = this.ledger.collect(workspace, submission, incarnation, keepMs)
    for (const { origin, key } of started) if (origin !== incarnation) this.reportTakenOver(origin, key)
    for (const result of started.map(rememberedResult)) if (result !== undefined) this.sessions.deliver(incarnation, result)
    const running = started.filter(({ result }) => result === undefined).map(({ key }) => key)
    this.sessions.add(incarnation, (frame) => {
      frame.collected.push(create(CollectedSchema, { workspace, submission, running }))
    })
  }

  private refuseWaiting (): void {
    this.refuseWaitingOf(new Set(this.waitingStarts.map(({ record }) => record)), REASONS.endpointGone)
  }

  private refuseWaitingOf (records: Set<TaskRecord>, reason: Reason = REASONS.revoked): void {
    const refused = this.waitingStarts.filter(({ record }) => records.has(record))
    for (const waiting of refused) {
      this.waitingStarts.splice(this.waitingStarts.indexOf(waiting), 1)
      this.end(waiting.record, waiting.sender, { outcome: TASK_OUTCOMES.notStarted, reason, body: '' }, 0)
    }
  }

  /**
   * Sends the next credits to entries.
   *
   * @param hasFrame - true for entries that get a frame anyway, so that the renewal of their standing credits needs no message of its own
   * @param recipient - the entry that a result goes to now, preferred among entries that are served about equally
   */
  private grant (hasFrame: (entry: string) => boolean = () => false, recipient?: string): void {
    for (const { entry, credits } of this.granter.plan(hasFrame, recipient)) {
      this.sessions.add(entry, (frame) => { frame.credits += credits })
    }
  }
}
