import type { TaskRecord } from './taskLedger.js'

const sizeOf = ({ result }: TaskRecord): number => result?.body.length ?? 0

/**
 * Limits the total size of the answers that a ledger remembers, in characters.
 * The oldest answers are dropped first; the outcome of their tasks stays known.
 */
export class AnswerBudget {
  private readonly records = new Set<TaskRecord>()
  private size = 0

  constructor (private readonly maxSize: number) {}

  /** Adds a record that has its result, and drops the oldest answers above the limit. */
  add (record: TaskRecord): void {
    this.records.add(record)
    this.size += sizeOf(record)
    for (const oldest of this.records) {
      if (this.size <= this.maxSize) return
      this.drop(oldest)
    }
  }

  /** Removes a record that the ledger forgets. */
  remove (record: TaskRecord): void {
    if (this.records.delete(record)) this.size -= sizeOf(record)
  }

  private drop (record: TaskRecord): void {
    this.remove(record)
    if (sizeOf(record) === 0) return
    // A copy, as an entry that has not acknowledged the result yet still gets it with its answer.
    record.result = { ...record.result!, body: '' }
    record.isAnswerDropped = true
  }
}
