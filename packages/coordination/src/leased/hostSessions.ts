import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { ResumeSchema } from '@hazellift/protocol'
import type { AgentFrame, EndpointState, EntryFrame, TaskKey, TaskResult } from '@hazellift/protocol'
import type { AddToFrame } from '../session/types.js'
import { Mailboxes } from '../tasks/mailboxes.js'
import { ConfigCopy } from './configCopy.js'

/** An agent's session with an entry. */
export interface LeasedSession {
  add: AddToFrame
  /** Priority of the first task that waits at the entry; unset while none does. */
  demandPriority: number | undefined
  /** Room that the entry was told last. */
  reportedCapacity: Resources
  /** Starts that arrived on this session. */
  startsSeen: number
  reportedStartsSeen: number
  /** The next frame carries the configuration document. */
  isConfigDue: boolean
  /** Version of the entry's list of evacuated zones; unset before its first frame. */
  evacuationsVersion: bigint | undefined
  /** Results that the next frame carries. */
  results: TaskResult[]
  /** It will be ended; the entry sends no start on it any more. */
  isRetired: boolean
}

const newSession = (add: AddToFrame): LeasedSession => ({
  add,
  demandPriority: undefined,
  reportedCapacity: { cpuMilli: 0, memoryMb: 0 },
  startsSeen: 0,
  reportedStartsSeen: 0,
  isConfigDue: false,
  evacuationsVersion: undefined,
  results: [],
  isRetired: false
})

/** Results of entries that never came back are dropped after this time. */
const MAILBOX_MEMORY_MS = 30_000

/**
 * Longest wait of a result for those of the same job's other tasks here: runs of
 * 100 ms that differ by 15% end within some 30 ms of each other, and the answer
 * waits for the last of them anyway. 4.04 frames a task instead of 4.36, emulated
 * at two thirds of the capacity with all sessions, 8 seeds.
 */
const RESULT_WAIT_MS = 30

/** An agent's sessions with entries, with the results and the configuration that they carry. */
export class HostSessions {
  /** By the entry's incarnation. */
  readonly open = new Map<string, LeasedSession>()
  private readonly mailboxes: Mailboxes
  private readonly config = new ConfigCopy()

  constructor (private readonly clock: Pick<Clock, 'now' | 'after'>) {
    this.mailboxes = new Mailboxes(clock.now)
  }

  /** Results that no entry has acknowledged yet. */
  get unacked (): number {
    return this.mailboxes.unackedCount
  }

  /** Version of the configuration document held here. */
  get configVersion (): bigint {
    return this.config.version
  }

  /** The session that this sender belongs to, if it is the entry's latest. */
  find (incarnation: string, add: AddToFrame): LeasedSession | undefined {
    const session = this.open.get(incarnation)
    return session?.add === add ? session : undefined
  }

  /**
   * A session has begun; the entry learns what is here of its tasks.
   *
   * @param held - tasks of the entry that run or wait
   * @param isLeaving - no start is taken any more
   */
  begin (incarnation: string, add: AddToFrame, held: TaskKey[], isLeaving: boolean): void {
    this.open.set(incarnation, newSession(add))
    const unacked = this.mailboxes.unackedOf(incarnation)
    add((frame) => {
      frame.resume = create(ResumeSchema, { held: [...held, ...unacked.map(({ key }) => key!)] })
      frame.leaving = isLeaving
      frame.results.push(...unacked)
    })
  }

  end (incarnation: string): void {
    this.open.delete(incarnation)
  }

  /**
   * Tells an entry how a task of its ended, now or in its next session.
   *
   * @param isUrgent - false if the entry cannot do anything with it yet: it waits for the next frame, or a moment
   */
  reportResult (incarnation: string, result: TaskResult, isUrgent: boolean): void {
    this.mailboxes.put(incarnation, result)
    const session = this.open.get(incarnation)
    if (session === undefined) return
    const isFirst = session.results.length === 0
    session.results.push(result)
    // An entry with tasks that wait counts on what ends: it is told at once.
    if (isUrgent || session.demandPriority !== undefined) session.add(() => {})
    else if (isFirst) this.clock.after(RESULT_WAIT_MS, () => { if (session.results.length > 0) session.add(() => {}) })
  }

  acknowledge (incarnation: string, seq: bigint): void {
    this.mailboxes.acknowledge(incarnation, seq)
  }

  /** Tells an entry, or all of them, of the endpoint. */
  reportEndpoint (endpoint: EndpointState, leaving: boolean, incarnations: Iterable<string> = this.open.keys()): void {
    for (const incarnation of incarnations) {
      const session = this.open.get(incarnation)
      session?.add((frame) => Object.assign(frame, { endpoint, leaving: leaving || session.isRetired }))
    }
  }

  /** The entry sends no start on this session any more: it will be ended. */
  retire (session: LeasedSession): void {
    session.isRetired = true
    session.add((frame) => { frame.leaving = true })
  }

  /** Sends each entry a fresh stamp, at once. */
  requestEchoes (): void {
    for (const { add } of this.open.values()) add(() => {})
  }

  /** No start is taken any more. */
  reportLeaving (): void {
    for (const { add } of this.open.values()) add((frame) => { frame.leaving = true })
  }

  /** Takes a newer document from an entry, and owes ours to one that wants it. */
  onConfig (session: LeasedSession, { configVersion, config, wantsConfig }: EntryFrame): void {
    if (config.length > 0) this.config.update(configVersion, config)
    if (!wantsConfig) return
    session.isConfigDue = true
    session.add(() => {})
  }

  /** Adds what a frame tells of the sessions and the configuration, as it leaves: a document must go with its own version. */
  fillFrame (incarnation: string, frame: AgentFrame): void {
    frame.entries = this.open.size
    frame.configVersion = this.config.version
    const session = this.open.get(incarnation)
    if (session === undefined) return
    frame.results.push(...session.results.splice(0))
    if (!session.isConfigDue) return
    session.isConfigDue = false
    frame.config = this.config.document
  }

  /** Forgets results of entries that are gone. */
  sweep (): void {
    this.mailboxes.sweep((incarnation) => this.open.has(incarnation), this.clock.now() - MAILBOX_MEMORY_MS)
  }
}
