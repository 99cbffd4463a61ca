import type { Clock } from '@hazellift/common'
import type { AgentFrame, EndsElsewhere, EntryFrame, TaskResult } from '@hazellift/protocol'
import { ENDPOINT_VERDICTS, judgeResult } from '../health/judgeResult.js'
import type { AddToFrame } from '../session/types.js'
import { EndsElsewhereCounter } from './endsElsewhereCounter.js'
import { Mailboxes } from './mailboxes.js'

interface HostSession {
  add: AddToFrame
  endsElsewhere: EndsElsewhereCounter
  /** True if the entry knows that this agent is leaving, so that it sends no further start. */
  sawLeaving: boolean
}

/** Minimum time between frames that are sent only to report a failure. */
const FAILURE_REPORT_INTERVAL_MS = 20

/** An agent's sessions with entries, and the results that are sent on them until entries acknowledge them. */
export class TaskSessions {
  /** Open sessions by the entry's incarnation. */
  private readonly sessions = new Map<string, HostSession>()
  private readonly mailboxes: Mailboxes
  private failureReportedAt = -Infinity

  constructor (private readonly clock: Pick<Clock, 'now'>) {
    this.mailboxes = new Mailboxes(clock.now)
  }

  /** True once every entry with a session knows that this agent is leaving. */
  get haveAllSeenLeaving (): boolean {
    return [...this.sessions.values()].every(({ sawLeaving }) => sawLeaving)
  }

  /** Number of results that are not acknowledged yet. */
  get unacked (): number {
    return this.mailboxes.unackedCount
  }

  /** Results that an entry has not acknowledged, oldest first. */
  unackedOf (incarnation: string): TaskResult[] {
    return this.mailboxes.unackedOf(incarnation)
  }

  /** Opens the session of an entry, in place of an earlier one. */
  begin (incarnation: string, add: AddToFrame): void {
    this.sessions.set(incarnation, { add, endsElsewhere: new EndsElsewhereCounter(), sawLeaving: false })
  }

  /** Closes the session of an entry; its unacknowledged results are stored for the next one. */
  end (incarnation: string): void {
    this.sessions.delete(incarnation)
  }

  /** True if `add` belongs to the entry's latest session. */
  isLatest (incarnation: string, add: AddToFrame): boolean {
    return this.sessions.get(incarnation)?.add === add
  }

  /** True if the entry has a session, but not that of `add`. */
  isReplaced (incarnation: string, add: AddToFrame): boolean {
    return this.sessions.has(incarnation) && !this.isLatest(incarnation, add)
  }

  /** Handles the fields of an entry's frame that concern the session: what it has acknowledged, and whether it knows of the leave. */
  onFrame (incarnation: string, { sawLeaving, ackedSeq }: EntryFrame): void {
    const session = this.sessions.get(incarnation)
    if (session !== undefined) session.sawLeaving ||= sawLeaving
    this.mailboxes.acknowledge(incarnation, ackedSeq)
  }

  /** Changes the next frame to an entry, if it has a session. */
  add (incarnation: string, change: (frame: AgentFrame) => void): void {
    this.sessions.get(incarnation)?.add(change)
  }

  /** Changes the next frame of every session. */
  addToAll (change: (frame: AgentFrame) => void): void {
    for (const { add } of this.sessions.values()) add(change)
  }

  /** Reports a result to an entry, and again in its next sessions until it is acknowledged. */
  deliver (incarnation: string, result: TaskResult): void {
    this.mailboxes.put(incarnation, result)
    this.report(incarnation, result)
  }

  /** Reports a result to an entry in its present session only. */
  report (incarnation: string, result: TaskResult): void {
    this.add(incarnation, (frame) => { frame.results.push(result) })
  }

  /**
   * Counts a result for the entries that are not its recipient, so that they can
   * judge the endpoint. Failures are reported at once, at the minimum interval.
   */
  countForOthers (recipient: string, result: TaskResult): void {
    const isUrgent = judgeResult(result) === ENDPOINT_VERDICTS.failed && this.clock.now() - this.failureReportedAt >= FAILURE_REPORT_INTERVAL_MS
    if (isUrgent) this.failureReportedAt = this.clock.now()
    for (const [incarnation, { add, endsElsewhere }] of this.sessions) {
      if (incarnation === recipient) continue
      endsElsewhere.count(result)
      if (isUrgent) add(() => {})
    }
  }

  /** Returns what was counted for an entry since the last call. */
  takeEndsElsewhere (incarnation: string): EndsElsewhere | undefined {
    return this.sessions.get(incarnation)?.endsElsewhere.take()
  }

  /** Forgets the results for entries that have no session, `memoryMs` after the last one was added. */
  sweep (memoryMs: number): void {
    this.mailboxes.sweep((incarnation) => this.sessions.has(incarnation), this.clock.now() - memoryMs)
  }
}
