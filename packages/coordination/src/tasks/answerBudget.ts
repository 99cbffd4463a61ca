import type { TaskEntry } from './taskLedger.js'

const sizeOf = ({ result }: TaskEntry): number => result?.body.length ?? 0

/**
 * Bounds the answers that a ledger keeps, in characters. The oldest are
 * dropped first; that the task ended, and how, stays known.
 */
export class AnswerBudget {
  private readonly kept = new Set<TaskEntry>()
  private size = 0

  constructor (private readonly maxSize: number) {}

  /** An entry has its result. */
  add (entry: TaskEntry): void {
    this.kept.add(entry)
    this.size += sizeOf(entry)
    for (const oldest of this.kept) {
      if (this.size <= this.maxSize) return
      this.drop(oldest)
    }
  }

  /** An entry is forgotten as a whole. */
  remove (entry: TaskEntry): void {
    if (this.kept.delete(entry)) this.size -= sizeOf(entry)
  }

  private drop (entry: TaskEntry): void {
    this.remove(entry)
    if (sizeOf(entry) === 0) return
    // A copy: whoever has not acknowledged the result yet still gets it whole.
    entry.result = { ...entry.result!, body: '' }
    entry.isAnswerDropped = true
  }
}
