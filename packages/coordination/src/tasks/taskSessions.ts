import type { Clock } from '@hazellift/common'
import type { AgentFrame, EndsElsewhere, EntryFrame, TaskResult } from '@hazellift/protocol'
import { ENDPOINT_VERDICTS, judgeResult } from '../health/judgeResult.js'
import type { AddToFrame } from '../session/types.js'
import { EndsElsewhereCounter } from './endsElsewhereCounter.js'
import { Mailboxes } from './mailboxes.js'

interface HostSession {
  add: AddToFrame
  endsElsewhere: EndsElsewhereCounter
  /** The entry knows that this agent is leaving, so no start follows. */
  sawLeaving: boolean
}

/** Least time between frames that only tell of a failure. */
const FAILURE_REPORT_INTERVAL_MS = 20

/** An agent's sessions with entries, and the results that they carry until entries acknowledge them. */
export class TaskSessions {
  /** By the entry's incarnation. */
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

  /** Results that no entry has acknowledged yet. */
  get unacked (): number {
    return this.mailboxes.unackedCount
  }

  unackedOf (incarnation: string): TaskResult[] {
    return this.mailboxes.unackedOf(incarnation)
  }

  begin (incarnation: string, add: AddToFrame): void {
    this.sessions.set(incarnation, { add, endsElsewhere: new EndsElsewhereCounter(), sawLeaving: false })
  }

  end (incarnation: string): void {
    this.sessions.delete(incarnation)
  }

  /** True if this sender belongs to the entry's latest session. */
  isLatest (incarnation: string, add: AddToFrame): boolean {
    return this.sessions.get(incarnation)?.add === add
  }

  /** Takes from an entry's frame what it tells of the session itself. */
  onFrame (incarnation: string, { sawLeaving, ackedSeq }: EntryFrame): void {
    const session = this.sessions.get(incarnation)
    if (session !== undefined) session.sawLeaving ||= sawLeaving
    this.mailboxes.acknowledge(incarnation, ackedSeq)
  }

  /** Adds to the next frame of an entry's session, if it has one. */
  add (incarnation: string, change: (frame: AgentFrame) => void): void {
    this.sessions.get(incarnation)?.add(change)
  }

  addToAll (change: (frame: AgentFrame) => void): void {
    for (const { add } of this.sessions.values()) add(change)
  }

  /** Tells an entry of an end, and again in its next sessions until it acknowledges it. */
  deliver (incarnation: string, result: TaskResult): void {
    this.mailboxes.put(incarnation, result)
    this.report(incarnation, result)
  }

  /** Tells an entry of an end in this session. */
  report (incarnation: string, result: TaskResult): void {
    this.add(incarnation, (frame) => { frame.results.push(result) })
  }

  /** Counts an end for the entries that it does not go to; a failure is told at once, but not too often. */
  countForOthers (recipient: string, result: TaskResult): void {
    const isUrgent = judgeResult(result) === ENDPOINT_VERDICTS.failed && this.clock.now() - this.failureReportedAt >= FAILURE_REPORT_INTERVAL_MS
    if (isUrgent) this.failureReportedAt = this.clock.now()
    for (const [incarnation, { add, endsElsewhere: elsewhere }] of this.sessions) {
      if (incarnation === recipient) continue
      elsewhere.count(result)
      if (isUrgent) add(() => {})
    }
  }

  /** What was counted for an entry since it was told last. */
  takeEndsElsewhere (incarnation: string): EndsElsewhere | undefined {
    return this.sessions.get(incarnation)?.endsElsewhere.take()
  }

  /** Forgets results that entries without a session have not fetched for so long. */
  sweep (memoryMs: number): void {
    this.mailboxes.sweep((incarnation) => this.sessions.has(incarnation), this.clock.now() - memoryMs)
  }
}
