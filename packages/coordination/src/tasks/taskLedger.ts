import type { TaskKey, TaskResult } from '@hazellift/protocol'
import { AnswerBudget } from './answerBudget.js'
import { submissionKey } from './keys.js'

/** What an agent remembers of one start. */
export interface TaskRecord {
  key: TaskKey
  /** Incarnation of the entry that sent the start. */
  origin: string
  /** Incarnation of the entry that gets the result: the origin, or the one that took the claim over. */
  recipient: string
  /** Set once the start has ended. */
  result?: TaskResult
  /** True if the answer was dropped because the answers exceeded their total size. */
  isAnswerDropped?: boolean
  /** Aborts the attempt; unset before it runs and once it has ended. */
  abort?: (reason: string) => void
}

interface SubmissionRecord {
  workspace: string
  submission: string
  tasks: Map<number, TaskRecord>
  /** Tasks that must never start. */
  revokedTasks: Set<number>
  /** True if no task of the submission may start. */
  areAllRevoked: boolean
  /** Incarnation of the entry that took the claim over, if one did. */
  collector: string | undefined
  changedAt: number
  /** Remembered at least until then, on the monotonic clock. */
  rememberUntil: number
}

/**
 * Remembers at an agent which tasks were started and which must not start.
 *
 * Invariant: a submission is remembered for `memoryMs` after its last change,
 * and `memoryMs` exceeds the age up to which a start is accepted. So a start
 * that arrives after its revoke was forgotten is refused for its timestamp. A
 * submission that was taken over is also remembered until the deadline of its
 * claim, because its first owner may send new starts until then.
 */
export class TaskLedger {
  private readonly submissions = new Map<string, SubmissionRecord>()

  private readonly answers: AnswerBudget

  /**
   * @param memoryMs - how long submissions are remembered at least
   * @param now - monotonic time, in ms
   * @param maxAnswerSize - total size of the answers remembered, in characters
   */
  constructor (private readonly memoryMs: number, private readonly now: () => number, maxAnswerSize = Infinity) {
    this.answers = new AnswerBudget(maxAnswerSize)
  }

  /** The record of the latest start of a task, if it is remembered. */
  find ({ workspace, submission, task }: TaskKey): TaskRecord | undefined {
    return this.submissions.get(submissionKey(workspace, submission))?.tasks.get(task)
  }

  /** True if the task must not start. */
  isRevoked ({ workspace, submission, task }: TaskKey): boolean {
    const record = this.submissions.get(submissionKey(workspace, submission))
    return record !== undefined && (record.areAllRevoked || record.revokedTasks.has(task))
  }

  /** Incarnation of the entry that took the submission over, if one did. */
  collectorOf (workspace: string, submission: string): string | undefined {
    return this.submissions.get(submissionKey(workspace, submission))?.collector
  }

  /** Remembers a start. The caller must have checked `find` and `isRevoked`. */
  add (record: TaskRecord): void {
    const { tasks } = this.touch(record.key.workspace, record.key.submission)
    const replaced = tasks.get(record.key.task)
    if (replaced !== undefined) this.answers.remove(replaced)
    tasks.set(record.key.task, record)
  }

  /** Forgets a start that is known not to have reached the endpoint. */
  remove ({ workspace, submission, task }: TaskKey): void {
    this.submissions.get(submissionKey(workspace, submission))?.tasks.delete(task)
  }

  /** Remembers the result of a start. */
  finish (record: TaskRecord, result: TaskResult): void {
    record.result = result
    delete record.abort
    this.answers.add(record)
    this.touch(record.key.workspace, record.key.submission)
  }

  /**
   * Forbids starts of tasks.
   *
   * @param tasks - indexes of the tasks; empty for all tasks of the submission
   * @returns the remembered starts of these tasks
   */
  revoke (workspace: string, submission: string, tasks: number[]): TaskRecord[] {
    const record = this.touch(workspace, submission)
    if (tasks.length === 0) record.areAllRevoked = true
    for (const task of tasks) record.revokedTasks.add(task)
    const started = [...record.tasks.values()]
    return tasks.length === 0 ? started : started.filter(({ key }) => tasks.includes(key.task))
  }

  /**
   * Forbids starts of a submission and makes another entry the recipient of its results.
   *
   * @param collector - incarnation of the entry that took the claim over
   * @param keepMs - how long the submission must be remembered at least
   * @returns the remembered starts of the submission
   */
  collect (workspace: string, submission: string, collector: string, keepMs: number): TaskRecord[] {
    const started = this.revoke(workspace, submission, [])
    const record = this.touch(workspace, submission)
    record.collector = collector
    record.rememberUntil = Math.max(record.rememberUntil, this.now() + keepMs)
    for (const task of started) task.recipient = collector
    return started
  }

  /** Every remembered start that an entry's incarnation sent or took over. */
  startsOf (incarnation: string): TaskRecord[] {
    return this.records().filter(({ origin, recipient }) => origin === incarnation || recipient === incarnation)
  }

  /** Every remembered start. */
  records (): TaskRecord[] {
    return [...this.submissions.values()].flatMap(({ tasks }) => [...tasks.values()])
  }

  /** Forgets submissions of which every start has ended, once their time to be remembered has passed. */
  sweep (): void {
    const oldestAt = this.now() - this.memoryMs
    for (const [key, record] of this.submissions) {
      const hasEnded = [...record.tasks.values()].every(({ result }) => result !== undefined)
      const isRecent = record.changedAt >= oldestAt || record.rememberUntil > this.now()
      if (!hasEnded || isRecent) continue
      this.submissions.delete(key)
      for (const task of record.tasks.values()) this.answers.remove(task)
    }
  }

  /** Number of submissions remembered. */
  get size (): number {
    return this.submissions.size
  }

  private touch (workspace: string, submission: string): SubmissionRecord {
    const key = submissionKey(workspace, submission)
    const record = this.submissions.get(key) ?? {
      workspace,
      submission,
      tasks: new Map(),
      revokedTasks: new Set(),
      areAllRevoked: false,
      collector: undefined,
      changedAt: 0,
      rememberUntil: 0
    }
    record.changedAt = this.now()
    this.submissions.set(key, record)
    return record
  }
}
