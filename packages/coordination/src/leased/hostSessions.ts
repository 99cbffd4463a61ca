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
  /** Priority of the first task that waits at the entry; undefined while none waits. */
  demandPriority: number | undefined
  /** Free capacity that was last reported to the entry. */
  reportedCapacity: Resources
  /** Number of starts received on this session. */
  startsSeen: number
  /** The number of starts that was last reported to the entry. */
  reportedStartsSeen: number
  /** The next frame carries the configuration document. */
  isConfigDue: boolean
  /** Version of the entry's list of evacuated zones; undefined before its first frame. */
  evacuationsVersion: bigint | undefined
  /** Results that the next frame carries. */
  results: TaskResult[]
  /** The session will be ended; the entry is asked to send no more starts on it. */
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

/** Results for entries that do not reconnect are dropped after this time. */
const MAILBOX_MEMORY_MS = 30_000

/**
 * Longest time that a result waits for those of the same job's other tasks here:
 * runs of 100 ms that differ by 15% end within some 30 ms of each other, and the
 * job's answer needs the last of them anyway. So several results share a frame.
 */
const RESULT_WAIT_MS = 30

/** An agent's sessions with entries, and the results and configuration documents that they carry. */
export class HostSessions {
  /** Open sessions, by the entry's incarnation. */
  readonly open = new Map<string, LeasedSession>()
  private readonly mailboxes: Mailboxes
  private readonly config = new ConfigCopy()

  constructor (private readonly clock: Pick<Clock, 'now' | 'after'>) {
    this.mailboxes = new Mailboxes(clock.now)
  }

  /** Number of results that no entry has acknowledged yet. */
  get unacked (): number {
    return this.mailboxes.unackedCount
  }

  /** Version of the agent's copy of the configuration document; 0 if it has none. */
  get configVersion (): bigint {
    return this.config.version
  }

  /** The session that this sender belongs to; undefined if the entry has a later session or none. */
  find (incarnation: string, add: AddToFrame): LeasedSession | undefined {
    const session = this.open.get(incarnation)
    return session?.add === add ? session : undefined
  }

  /**
   * Begins a session: the entry is sent the keys of its tasks here and its unacknowledged results.
   *
   * @param incarnation - the entry's incarnation
   * @param add - adds to the next frame of the session
   * @param keys - tasks of the entry that run or wait
   * @param isLeaving - no starts are accepted any more
   */
  begin (incarnation: string, add: AddToFrame, keys: TaskKey[], isLeaving: boolean): void {
    this.open.set(incarnation, newSession(add))
    const unacked = this.mailboxes.unackedOf(incarnation)
    add((frame) => {
      frame.resume = create(ResumeSchema, { held: [...keys, ...unacked.map(({ key }) => key!)] })
      frame.leaving = isLeaving
      frame.results.push(...unacked)
    })
  }

  end (incarnation: string): void {
    this.open.delete(incarnation)
  }

  /**
   * Reports the result of a task to its entry, now or in its next session.
   *
   * @param incarnation - the entry's incarnation
   * @param result - numbered and stored until it is acknowledged
   * @param isUrgent - false if the entry cannot use the result yet: it goes with the next frame, after `RESULT_WAIT_MS` at the latest
   */
  reportResult (incarnation: string, result: TaskResult, isUrgent: boolean): void {
    this.mailboxes.put(incarnation, result)
    const session = this.open.get(incarnation)
    if (session === undefined) return
    const isFirst = session.results.length === 0
    session.results.push(result)
    // An entry with waiting tasks needs the freed capacity, so it gets the result at once.
    if (isUrgent || session.demandPriority !== undefined) session.add(() => {})
    else if (isFirst) this.clock.after(RESULT_WAIT_MS, () => { if (session.results.length > 0) session.add(() => {}) })
  }

  acknowledge (incarnation: string, seq: bigint): void {
    this.mailboxes.acknowledge(incarnation, seq)
  }

  /**
   * Reports the endpoint's state to entries.
   *
   * @param endpoint - its state
   * @param leaving - no starts are accepted any more
   * @param incarnations - the entries; all with an open session by default
   */
  reportEndpoint (endpoint: EndpointState, leaving: boolean, incarnations: Iterable<string> = this.open.keys()): void {
    for (const incarnation of incarnations) {
      const session = this.open.get(incarnation)
      session?.add((frame) => Object.assign(frame, { endpoint, leaving: leaving || session.isRetired }))
    }
  }

  /** Asks the entry to send no more starts on this session, which will be ended. */
  retire (session: LeasedSession): void {
    session.isRetired = true
    session.add((frame) => { frame.leaving = true })
  }

  /** Sends each entry a frame with a new timestamp at once, so that it echoes it. */
  requestEchoes (): void {
    for (const { add } of this.open.values()) add(() => {})
  }

  /** Reports to all entries that no starts are accepted any more. */
  reportLeaving (): void {
    for (const { add } of this.open.values()) add((frame) => { frame.leaving = true })
  }

  /** Adopts the frame's configuration document if it is newer, and sends the agent's copy if the entry asks for it. */
  onConfig (session: LeasedSession, { configVersion, config, wantsConfig }: EntryFrame): void {
    if (config.length > 0) this.config.update(configVersion, config)
    if (!wantsConfig) return
    session.isConfigDue = true
    session.add(() => {})
  }

  /**
   * Fills a frame as it is sent, so that a document goes with its own version. Only the
   * open session takes results and the document with it: an earlier one's last frame may
   * leave after it was replaced, on a connection whose frames the entry does not handle.
   */
  fillFrame (incarnation: string, add: AddToFrame, frame: AgentFrame): void {
    frame.entries = this.open.size
    frame.configVersion = this.config.version
    const session = this.find(incarnation, add)
    if (session === undefined) return
    frame.results.push(...session.results.splice(0))
    if (!session.isConfigDue) return
    session.isConfigDue = false
    frame.config = this.config.document
  }

  /** Drops the results of entries that have not reconnected for a while. */
  sweep (): void {
    this.mailboxes.sweep((incarnation) => this.open.has(incarnation), this.clock.now() - MAILBOX_MEMORY_MS)
  }
}
