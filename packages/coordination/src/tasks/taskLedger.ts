import type { TaskKey, TaskResult } from '@hazellift/protocol'
import { AnswerBudget } from './answerBudget.js'
import { submissionKey } from './keys.js'

/** What an agent remembers of one start. */
export interface TaskRecord {
  key: TaskKey
  /** Incarnation of the entry that sent the start. */
  origin: string
  /** Incarnation of the entry that gets the result: the origin, or who took the claim over. */
  recipient: string
  /** Set once the start ended. */
  result?: TaskResult
  /** True if the answer was dropped for want of room. */
  isAnswerDropped?: boolean
  /** Ends the attempt; unset once it ended. */
  abort?: (reason: string) => void
}

interface SubmissionRecord {
  workspace: string
  submission: string
  tasks: Map<number, TaskRecord>
  /** Tasks that must never start, or all of them. */
  revokedTasks: Set<number>
  areAllRevoked: boolean
  /** Who took the claim over, if anybody did. */
  collector: string | undefined
  touchedAt: number
  /** Kept at least until then. */
  rememberUntil: number
}

/**
 * An agent's memory of what it started and what it must not start.
 *
 * Invariant: an entry is kept for `memoryMs` after it was last touched, and
 * `memoryMs` exceeds the oldest stamp with which a start is accepted. So a
 * start that arrives after its revoke was forgotten is refused by its stamp. A
 * submission taken over is kept for its claim's deadline as well, for its first
 * owner may send fresh starts until then.
 */
export class TaskLedger {
  private readonly submissions = new Map<string, SubmissionRecord>()

  private readonly answers: AnswerBudget

  /**
   * @param memoryMs - how long entries are kept at least
   * @param now - monotonic ms
   * @param maxAnswerSize - answers kept, in characters
   */
  constructor (private readonly memoryMs: number, private readonly now: () => number, maxAnswerSize = Infinity) {
    this.answers = new AnswerBudget(maxAnswerSize)
  }

  /** The entry of a task that was started, if it is remembered. */
  find ({ workspace, submission, task }: TaskKey): TaskRecord | undefined {
    return this.submissions.get(submissionKey(workspace, submission))?.tasks.get(task)
  }

  /** True if the task must not start. */
  isRevoked ({ workspace, submission, task }: TaskKey): boolean {
    const entry = this.submissions.get(submissionKey(workspace, submission))
    return entry !== undefined && (entry.areAllRevoked || entry.revokedTasks.has(task))
  }

  /** Who took the submission over, if anybody did. */
  collectorOf (workspace: string, submission: string): string | undefined {
    return this.submissions.get(submissionKey(workspace, submission))?.collector
  }

  /** Remembers a start. The caller has checked `find` and `isRevoked`. */
  add (entry: TaskRecord): void {
    const { tasks } = this.touch(entry.key.workspace, entry.key.submission)
    const replaced = tasks.get(entry.key.task)
    if (replaced !== undefined) this.answers.remove(replaced)
    tasks.set(entry.key.task, entry)
  }

  /** Forgets a start that is proved not to have reached the endpoint. */
  remove ({ workspace, submission, task }: TaskKey): void {
    this.submissions.get(submissionKey(workspace, submission))?.tasks.delete(task)
  }

  /** Remembers the end of a start. */
  finish (entry: TaskRecord, result: TaskResult): void {
    entry.result = result
    delete entry.abort
    this.answers.add(entry)
    this.touch(entry.key.workspace, entry.key.submission)
  }

  /**
   * Forbids starts.
   *
   * @param tasks - the tasks, or none for the whole submission
   * @returns those of them that were started before
   */
  revoke (workspace: string, submission: string, tasks: number[]): TaskRecord[] {
    const entry = this.touch(workspace, submission)
    if (tasks.length === 0) entry.areAllRevoked = true
    for (const task of tasks) entry.revokedTasks.add(task)
    const started = [...entry.tasks.values()]
    return tasks.length === 0 ? started : started.filter(({ key }) => tasks.includes(key.task))
  }

  /**
   * Forbids starts of a submission and sends its results to another entry.
   *
   * @param keepMs - how long the submission must be remembered at least
   * @returns everything that was started before
   */
  collect (workspace: string, submission: string, collector: string, keepMs: number): TaskRecord[] {
    const started = this.revoke(workspace, submission, [])
    const entry = this.touch(workspace, submission)
    entry.collector = collector
    entry.rememberUntil = Math.max(entry.rememberUntil, this.now() + keepMs)
    for (const entry of started) entry.recipient = collector
    return started
  }

  /** Every remembered start that an incarnation of an entry sent or took over. */
  startsOf (incarnation: string): TaskRecord[] {
    return this.records().filter(({ origin, recipient }) => origin === incarnation || recipient === incarnation)
  }

  /** Every remembered start. */
  records (): TaskRecord[] {
    return [...this.submissions.values()].flatMap(({ tasks }) => [...tasks.values()])
  }

  /** Forgets what was untouched for the memory's length and is over. */
  sweep (): void {
    const oldest = this.now() - this.memoryMs
    for (const [key, entry] of this.submissions) {
      const hasEnded = [...entry.tasks.values()].every(({ result }) => result !== undefined)
      const isRecent = entry.touchedAt >= oldest || entry.rememberUntil > this.now()
      if (!hasEnded || isRecent) continue
      this.submissions.delete(key)
      for (const task of entry.tasks.values()) this.answers.remove(task)
    }
  }

  /** Submissions remembered. */
  get size (): number {
    return this.submissions.size
  }

  private touch (workspace: string, submission: string): SubmissionRecord {
    const key = submissionKey(workspace, submission)
    const entry = this.submissions.get(key) ?? {
      workspace,
      submission,
      tasks: new Map(),
      revokedTasks: new Set(),
      areAllRevoked: false,
      collector: undefined,
      touchedAt: 0,
      rememberUntil: 0
    }
    entry.touchedAt = this.now()
    this.submissions.set(key, entry)
    return entry
  }
}
