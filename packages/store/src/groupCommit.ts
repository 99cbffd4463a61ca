import type { Clock } from '@hazellift/common'
import type { StoreFault } from './errors.js'
import type { TableRow, TableService, TableWrite } from './types.js'

/** What became of one write. */
export type CommitOutcome =
  | { type: 'committed', version: bigint }
  /** The row had another version; nothing of this write took effect. */
  | { type: 'conflict', row: TableRow }
  /** The deadline passed first. The write may still take effect; `certain` says it never will. */
  | { type: 'expired', certain: boolean, message: string }

/** Bounds of the writes that one process makes. */
export interface GroupCommitOptions {
  table: TableService
  clock: Clock
  /** Least time between the starts of two transactions, in ms. */
  intervalMs: number
  /** Most writes of one transaction. */
  maxRows: number
  /** Delay before a failed transaction is sent again, by the number of failures. */
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

/** The row shows the state that the write asked for, so an earlier sending of it took effect. */
const isApplied = ({ value }: TableWrite, row: TableRow): boolean =>
  value === undefined ? row.version === 0n : row.version !== 0n && sameBytes(row.value, value)

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

/** One lost acknowledgement is no outage; this many failures in a row are. */
const DOWN_AFTER_FAILURES = 3

/**
 * Group commit: all waiting writes travel in one transaction, with one in
 * flight. A transaction whose outcome is unknown is sent again unchanged: its
 * conditions make the second sending harmless, and a conflict with one's own
 * value proves that the first took effect.
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
   * @param write - its value must differ from every other write's (a nonce),
   *   as that is how a lost acknowledgement is told from a rival's write
   * @param deadline - on the clock given, when to give up
   */
  commit (write: TableWrite, deadline: number): Promise<CommitOutcome> {
    return new Promise((resolve) => {
      this.queue.push({ write, deadline, inDoubt: false, resolve: resolve })
      if (!this.isSending) void this.sendAll()
    })
  }

  /** Writes that wait or are in flight. */
  get size (): number {
    return this.queue.length + this.inFlight
  }

  /** False from the third failure of a transaction in a row to the next success. */
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
