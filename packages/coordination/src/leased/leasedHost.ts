import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { EndpointStateSchema, REASONS, ResumeSchema, RoomSchema, TASK_OUTCOMES, TaskKeySchema, TaskResultSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, LeasedStart, Reason, Revoke, TaskKey, TaskOutcome, TaskResult } from '@hazellift/protocol'
import type { SessionHost, AddToFrame } from '../session/types.js'
import { Mailboxes } from '../tasks/mailboxes.js'
import { Authorities } from './authorities.js'
import { ConfigCopy } from './configCopy.js'
import { describeEnd } from './describeEnd.js'
import { EndpointLife } from './endpointLife.js'
import type { AttemptOver, HeldTask } from './endpointLife.js'
import { OFFER_MS, RoomTurns, isScarce } from './roomTurns.js'
import type { WantingEntry } from './roomTurns.js'
import { SpeedRecord } from './speedRecord.js'
import type { LeaseTimes } from './times.js'
import type { LeasedEndpoint, Resources } from './types.js'
import { WaitingStarts } from './waitingStarts.js'
import type { WaitingStart } from './waitingStarts.js'

type LogFields = Record<string, string | number | boolean | undefined>

/** What the host needs. */
export interface LeasedHostOptions {
  clock: Clock
  times: LeaseTimes
  /** How long the endpoint may wait for an end before it answers a hold, in ms. */
  holdWaitMs: number
  log: (event: string, fields: LogFields) => void
  /** Told of every attempt that is over. */
  observe: (result: TaskResult) => void
}

/** The endpoint beside the agent. */
export interface AnnouncedLife {
  service: string
  incarnation: string
  address: string
  capacity: Resources
  endpoint: LeasedEndpoint
}

interface LeasedSession {
  add: AddToFrame
  /** Priority of the first task that waits at the entry. */
  wantingPriority: number | undefined
  /** Room that the entry was told last. */
  told: Resources
  /** Starts that arrived on this session. */
  startsSeen: number
  toldStartsSeen: number
}

interface RunningTask {
  owner: string
  key: TaskKey
  held: HeldTask
  expectedMs: number
}

const NO_ROOM: Resources = { cpuMilli: 0, memoryMb: 0 }
/** Results of entries that never came back are dropped after this time. */
const MAILBOX_MEMORY_MS = 30_000

/**
 * An agent's side of jobs that are not kept. It runs tasks of an entry only
 * under authority that the entry renews by echoing the agent's own clock; when
 * it lapses, the entry's tasks are stopped and none is held on.
 */
export class LeasedHost implements SessionHost {
  private readonly sessions = new Map<string, LeasedSession>()
  private readonly authorities: Authorities
  private readonly mailboxes: Mailboxes
  private readonly config = new ConfigCopy()
  private readonly turns: RoomTurns
  private speed: SpeedRecord
  private running: RunningTask[] = []
  private readonly waiting = new WaitingStarts()
  private life: EndpointLife | undefined
  private announced: AnnouncedLife | undefined
  private isStopping = false
  private isDraining = false

  constructor (private readonly options: LeasedHostOptions) {
    this.mailboxes = new Mailboxes(options.clock.now)
    this.authorities = new Authorities(options.clock, options.times.authorityMs, () => this.lapse())
    this.turns = new RoomTurns(options.clock.now)
    this.speed = new SpeedRecord(options.clock)
  }

  /** Tasks that run or wait here. */
  get busy (): number {
    return this.running.length + this.waiting.size
  }

  /** Results that no entry has acknowledged yet. */
  get unacked (): number {
    return this.mailboxes.unackedCount
  }

  /** Incarnation of the endpoint's life that is served now. */
  get endpointIncarnation (): string | undefined {
    return this.announced?.incarnation
  }

  /** Version of the configuration document held here. */
  get configVersion (): bigint {
    return this.config.version
  }

  /** A new life of the endpoint; everything of an earlier one is over. */
  setEndpoint (announced: AnnouncedLife): void {
    this.removeEndpoint(REASONS.endpointGone)
    this.announced = announced
    this.isDraining = false
    this.speed = new SpeedRecord(this.options.clock)
    this.life = new EndpointLife({
      clock: this.options.clock,
      endpoint: announced.endpoint,
      capacity: announced.capacity,
      times: this.options.times,
      waitMs: this.options.holdWaitMs,
      beforeHold: () => this.lapse(),
      onRoom: () => this.onRoom(),
      onOpen: () => this.tellEndpoint(),
      onGone: () => this.removeEndpoint(REASONS.endpointGone),
      log: this.options.log
    })
  }

  /** The endpoint ended, or must get no more work. */
  removeEndpoint (reason: Reason): void {
    if (this.announced === undefined) return
    this.options.log('endpoint_removed', { endpoint: this.announced.incarnation, reason, tasks: this.busy })
    const life = this.life
    this.life = undefined
    this.announced = undefined
    this.refuseWaiting(() => true, REASONS.endpointGone)
    life?.end(reason)
    this.tellEndpoint()
  }

  /** The endpoint drains: it gets no start any more, what runs is finished. */
  drain (): void {
    if (this.isDraining) return
    this.isDraining = true
    this.leave()
  }

  /** The agent stops: the same for good. */
  stop (): void {
    this.isStopping = true
    this.leave()
  }

  openSession (incarnation: string, add: AddToFrame): void {
    this.sessions.set(incarnation, { add, wantingPriority: undefined, told: NO_ROOM, startsSeen: 0, toldStartsSeen: 0 })
    const held = [...this.running, ...this.waiting].filter(({ owner }) => owner === incarnation).map(({ key }) => key)
    const unacked = this.mailboxes.unackedOf(incarnation)
    add((frame) => {
      frame.resume = create(ResumeSchema, { held: [...held, ...unacked.map(({ key }) => key!)] })
      frame.leaving = this.isLeaving
      frame.results.push(...unacked)
    })
    this.tellEndpointTo(incarnation)
  }

  closeSession (incarnation: string, add: AddToFrame): void {
    if (this.sessions.get(incarnation)?.add !== add) return
    // What runs for the entry goes on until its authority lapses: the session may resume.
    this.sessions.delete(incarnation)
    this.turns.forget(incarnation)
  }

  onFrame (incarnation: string, add: AddToFrame, frame: EntryFrame): void {
    const session = this.sessions.get(incarnation)
    if (session?.add !== add) return
    this.authorities.renew(incarnation, frame.echoStampMs)
    this.mailboxes.acknowledge(incarnation, frame.ackedSeq)
    session.wantingPriority = frame.wantingPriority
    for (const revoke of frame.revokes) this.onRevoke(incarnation, revoke)
    for (const start of frame.leasedStarts) {
      session.startsSeen += start.tasks.length
      this.onStart(incarnation, start)
    }
    if (frame.leasedStarts.length > 0) this.turns.served(incarnation)
    if (frame.leasedStarts.length > 0) this.tellScarcity()
    this.offerRoom()
    this.onConfig(session, frame)
  }

  stamp (incarnation: string, frame: AgentFrame): void {
    frame.stampMs = this.options.clock.now()
    frame.configVersion = this.config.version
    frame.slowness = this.speed.read(this.running.map(({ held, expectedMs }) => ({ startedAt: held.startedAt, expectedMs })))
    const session = this.sessions.get(incarnation)
    if (session === undefined) return
    const room = this.roomFor(incarnation)
    const isTold = room.cpuMilli === session.told.cpuMilli && room.memoryMb === session.told.memoryMb &&
      session.startsSeen === session.toldStartsSeen
    if (isTold) return
    session.told = room
    session.toldStartsSeen = session.startsSeen
    frame.room = create(RoomSchema, { ...room, startsSeen: session.startsSeen })
  }

  private get isLeaving (): boolean {
    return this.isStopping || this.isDraining
  }

  private leave (): void {
    this.refuseWaiting(() => true, REASONS.endpointGone)
    for (const { add } of this.sessions.values()) add((frame) => { frame.leaving = true })
  }

  private get room (): Resources {
    if (this.isLeaving || this.life === undefined) return NO_ROOM
    return this.waiting.roomBehind(this.life.room)
  }

  private roomFor (incarnation: string): Resources {
    const free = this.room
    const capacity = this.announced?.capacity ?? NO_ROOM
    return this.turns.isOffered(incarnation, free, capacity, this.wanting) ? free : NO_ROOM
  }

  private get wanting (): WantingEntry[] {
    const wanting: WantingEntry[] = []
    for (const [incarnation, { wantingPriority }] of this.sessions) {
      if (wantingPriority !== undefined) wanting.push({ incarnation, priority: wantingPriority })
    }
    return wanting
  }

  /**
   * Entries that were told of much room, and would send for it, hear at once
   * when it is nearly used up. Left to the next keep-alive, three of ten starts
   * of ten entries at 62 agents arrived in vain.
   */
  private tellScarcity (): void {
    const { room, announced } = this
    if (announced === undefined || !isScarce(room, announced.capacity)) return
    for (const { told, add } of this.sessions.values()) if (!isScarce(told, announced.capacity)) add(() => {})
  }

  /** Tells the entry whose turn it is of free room; if it does not use it, the next one, until each was told. */
  private offerRoom (): void {
    const wanting = this.wanting
    if (wanting.length === 0 || this.room.cpuMilli === 0) return
    this.offerTo(this.turns.holderOf(wanting)!, wanting.length - 1)
  }

  private offerTo (holder: string, others: number): void {
    this.sessions.get(holder)?.add(() => {})
    if (others > 0) this.options.clock.after(OFFER_MS, () => this.passOn(holder, others))
  }

  private passOn (holder: string, others: number): void {
    if (this.turns.holderOf(this.wanting) !== holder) return
    this.turns.served(holder)
    const next = this.turns.holderOf(this.wanting)
    if (next !== undefined && this.room.cpuMilli > 0) this.offerTo(next, others - 1)
  }

  /** Stops what runs without authority. */
  private lapse (): void {
    for (const { owner, held, key } of this.running) {
      if (held.stopReason !== undefined || this.authorities.has(owner)) continue
      this.options.log('authority_lapsed', { job: key.submission, task: key.task, entry: owner })
      this.life?.stop(held, REASONS.leaseExpired)
    }
    this.refuseWaiting(({ owner }) => !this.authorities.has(owner), REASONS.staleStart)
    this.mailboxes.sweep((incarnation) => this.sessions.has(incarnation), this.options.clock.now() - MAILBOX_MEMORY_MS)
  }

  private onStart (owner: string, { workspace, submission, payload, tasks, need, waitMs, expectedMs }: LeasedStart): void {
    const until = this.options.clock.now() + waitMs
    for (const { index, attempt } of tasks) {
      const key = create(TaskKeySchema, { workspace, submission, task: index, attempt })
      const refusal = this.refusalOf(owner, key)
      if (refusal === undefined) this.waiting.add({ owner, key, payload, need: need ?? NO_ROOM, until, expectedMs })
      else this.tell(owner, key, TASK_OUTCOMES.notStarted, refusal)
    }
    this.startWaiting()
    if (this.waiting.size > 0) this.options.clock.after(waitMs, () => this.expireWaiting())
  }

  private refusalOf (owner: string, key: TaskKey): Reason | undefined {
    if (!this.authorities.has(owner)) return REASONS.staleStart
    if (this.isLeaving || this.life?.takesStarts !== true) return REASONS.endpointGone
    const isHere = this.life.find(key.submission, key.task) !== undefined || this.waiting.has(key)
    return isHere ? REASONS.duplicateStart : undefined
  }

  private startWaiting (): void {
    const { life } = this
    if (life === undefined) return
    for (let start = this.waiting.takeFirst(life.room); start !== undefined; start = this.waiting.takeFirst(life.room)) this.run(life, start)
  }

  private run (life: EndpointLife, { owner, key, payload, need, expectedMs }: WaitingStart): void {
    const held = life.start(key.submission, key.task, payload, need, (over) => this.onOver(running, over))
    const running: RunningTask = { owner, key, held, expectedMs }
    this.running.push(running)
  }

  private onOver (running: RunningTask, over: AttemptOver): void {
    this.running = this.running.filter((other) => other !== running)
    const { owner, key, held, expectedMs } = running
    const runMs = Math.round(this.options.clock.now() - held.startedAt)
    const { outcome, reason, hasRun } = describeEnd(over)
    if (outcome === TASK_OUTCOMES.done) this.speed.observe(runMs, expectedMs)
    this.tell(owner, key, outcome, reason, hasRun ? runMs : 0)
  }

  private expireWaiting (): void {
    const now = this.options.clock.now()
    this.refuseWaiting(({ until }) => until <= now, REASONS.noSlot)
  }

  private refuseWaiting (isRefused: (start: WaitingStart) => boolean, reason: Reason): void {
    for (const { owner, key } of this.waiting.takeOut(isRefused)) this.tell(owner, key, TASK_OUTCOMES.notStarted, reason)
  }

  private onRevoke (incarnation: string, { submission, tasks }: Revoke): void {
    const isMeant = ({ owner, key }: { owner: string, key: TaskKey }): boolean =>
      owner === incarnation && key.submission === submission && (tasks.length === 0 || tasks.includes(key.task))
    this.refuseWaiting(isMeant, REASONS.revoked)
    for (const task of this.running.filter(isMeant)) this.life?.stop(task.held, REASONS.revoked)
  }

  private tell (owner: string, key: TaskKey, outcome: TaskOutcome, reason: Reason | '', runMs = 0): void {
    const result = create(TaskResultSchema, { key, outcome, reason, runMs })
    this.options.observe(result)
    this.mailboxes.put(owner, result)
    this.sessions.get(owner)?.add((frame) => { frame.results.push(result) })
  }

  private onRoom (): void {
    this.startWaiting()
    this.offerRoom()
  }

  private tellEndpoint (): void {
    for (const incarnation of this.sessions.keys()) this.tellEndpointTo(incarnation)
  }

  /** Entries hear of a life once it takes starts: then nothing that an earlier agent left runs any more. */
  private tellEndpointTo (incarnation: string): void {
    const state = this.life?.takesStarts === true && this.announced !== undefined
      ? create(EndpointStateSchema, { ...this.announced, capacity: create(RoomSchema, this.announced.capacity) })
      : create(EndpointStateSchema)
    this.sessions.get(incarnation)?.add((frame) => {
      frame.endpoint = state
      frame.leaving = this.isLeaving
    })
  }

  private onConfig ({ add }: LeasedSession, { configVersion, config, wantsConfig }: EntryFrame): void {
    if (config.length > 0 && this.config.offer(configVersion, config)) {
      for (const session of this.sessions.values()) session.add(() => {})
    }
    if (wantsConfig) add((frame) => { frame.config = this.config.document })
  }
}
