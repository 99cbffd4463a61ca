import type { Clock } from '@hazellift/common'
import type { StoreFault } from './errors.js'
import type { TableRow, TableService, TableWrite } from './types.js'

/** Outcome of one write. */
export type CommitOutcome =
  | { type: 'committed', version: bigint }
  /** The row had another version; the write took no effect. */
  | { type: 'conflict', row: TableRow }
  /** The deadline passed first. If `certain`, the write never takes effect; otherwise it may still do so. */
  | { type: 'expired', certain: boolean, message: string }

/** Table and limits of a group commit. */
export interface GroupCommitOptions {
  table: TableService
  clock: Clock
  /** Minimum time between the starts of two transactions, in ms. */
  intervalMs: number
  /** Maximum number of writes in one transaction. */
  maxRows: number
  /** Delay in ms before a failed transaction is sent again, given the number of failures in a row. */
  backoff: (failures: number) => number
}

interface PendingWrite {
  write: TableWrite
  deadline: number
  /** True once a transaction with this write ended with an unknown outcome. */
  inDoubt: boolean
  resolve: (outcome: CommitOutcome) => void
}

const sameBytes = (a: Uint8Array, b: Uint8Array | undefined): boolean =>
  b !== undefined && Buffer.compare(a, b) === 0

/** Whether the row has the state that the write asked for, so that an earlier attempt took effect. */
const isApplied = ({ value }: TableWrite, row: TableRow): boolean =>
  value === undefined ? row.version === 0n : row.version !== 0n && sameBytes(row.value, value)

/** Takes writes from the queue in order, at most one for each key. */
const takeBatch = (queue: PendingWrite[], maxRows: number): PendingWrite[] => {
  const keys = new Set<string>()
  const batch: PendingWrite[] = []
  const rest: PendingWrite[] = []
  for (const pending of queue) {
    const fits = batch.length < maxRows && !keys.has(pending.write.key)
    if (fits) keys.add(pending.write.key)
    ;(fits ? batch : rest).push(pending)
  }
  queue.splice(0, queue.length, ...rest)
  return batch
}

/** A single lost acknowledgement is not an outage; this many failures in a row are. */
const DOWN_AFTER_FAILURES = 3

/**
 * Group commit: waiting writes are sent together in one transaction, one
 * transaction at a time. Writes whose outcome is unknown are sent again unchanged:
 * their version conditions make a retry harmless, and a conflict with a row that
 * has the written value proves that an earlier attempt took effect.
 */
export class GroupCommit {
  private readonly queue: PendingWrite[] = []
  private inFlight = 0
  private failures = 0
  private isSending = false

  constructor (private readonly options: GroupCommitOptions) {}

  /**
   * Writes a row.
   *
   * @param write - its value must be unique among all writes (contain a nonce): this
   *   distinguishes a lost acknowledgement from the write of another process
   * @param deadline - time on the given clock after which the write expires
   * @returns how the write ended
   */
  commit (write: TableWrite, deadline: number): Promise<CommitOutcome> {
    return new Promise((resolve) => {
      this.queue.push({ write, deadline, inDoubt: false, resolve })
      if (!this.isSending) void this.sendAll()
    })
  }

  /** Number of writes that wait or are in flight. */
  get size (): number {
    return this.queue.length + this.inFlight
  }

  /** False from the third failed transaction in a row until the next success. */
  get isUp (): boolean {
    return this.failures < DOWN_AFTER_FAILURES
  }

  private async sendAll (): Promise<void> {
    const { clock, intervalMs, backoff } = this.options
    this.isSending = true
    while (this.queue.length > 0) {
      const startedAt = clock.now()
      await this.sendBatch()
      this.expireWrites()
      const pause = this.failures > 0 ? backoff(this.failures) : intervalMs - (clock.now() - startedAt)
      if (pause > 0) await clock.sleep(pause)
    }
    this.isSending = false
  }

  private async sendBatch (): Promise<void> {
    const batch = takeBatch(this.queue, this.options.maxRows)
    this.inFlight = batch.length
    const res = await this.options.table.transact(batch.map(({ write }) => write))
    this.inFlight = 0
    this.failures = res.ok ? 0 : this.failures + 1
    if (!res.ok) return this.requeue(batch, res.err)
    if (res.value.type === 'conflict') return this.resolveConflicts(batch, res.value.rows)
    const { version } = res.value
    for (const pending of batch) pending.resolve({ type: 'committed', version })
  }

  private resolveConflicts (batch: PendingWrite[], rows: TableRow[]): void {
    const byKey = new Map(rows.map((row) => [row.key, row]))
    for (const pending of batch) {
      const row = byKey.get(pending.write.key)
      if (row === undefined) this.queue.unshift(pending)
      else if (isApplied(pending.write, row)) pending.resolve({ type: 'committed', version: row.version })
      else pending.resolve({ type: 'conflict', row })
    }
  }

  private requeue (batch: PendingWrite[], fault: StoreFault): void {
    if (fault.type === 'unknown') for (const pending of batch) pending.inDoubt = true
    this.queue.unshift(...batch)
  }

  private expireWrites (): void {
    const now = this.options.clock.now()
    const expired = this.queue.filter(({ deadline }) => deadline <= now)
    for (const pending of expired) {
      this.queue.splice(this.queue.indexOf(pending), 1)
      pending.resolve({ type: 'expired', certain: !pending.inDoubt, message: 'the table did not answer in time' })
    }
  }
}
