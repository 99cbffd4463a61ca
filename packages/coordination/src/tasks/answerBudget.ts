import type { TaskRecord } from './taskLedger.js'

const sizeOf = ({ result }: TaskRecord): number => result?.body.length ?? 0

/**
 * Bounds the answers that a ledger keeps, in characters. The oldest are
 * dropped first; that the task ended, and how, stays known.
 */
export class AnswerBudget {
  private readonly records = new Set<TaskRecord>()
  private size = 0

  constructor (private readonly maxSize: number) {}

  /** An entry has its result. */
  add (entry: TaskRecord): void {
    this.records.add(entry)
    this.size += sizeOf(entry)
    for (const oldest of this.records) {
      if (this.size <= this.maxSize) return
      this.drop(oldest)
    }
  }

  /** An entry is forgotten as a whole. */
  remove (entry: TaskRecord): void {
    if (this.records.delete(entry)) this.size -= sizeOf(entry)
  }

  private drop (entry: TaskRecord): void {
    this.remove(entry)
    if (sizeOf(entry) === 0) return
    // A copy: whoever has not acknowledged the result yet still gets it whole.
    entry.result = { ...entry.result!, body: '' }
    entry.isAnswerDropped = true
  }
}
