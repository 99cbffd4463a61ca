import { fromBinary } from '@bufbuild/protobuf'
import { EntryRecordSchema } from '@hazellift/protocol'
import type { EntryRecord } from '@hazellift/protocol'
import type { TableRow } from '@hazellift/store'

/** Key prefix of the rows with the heartbeats of entries. */
export const ENTRY_PREFIX = 'entry/'

/** An entry as this entry knows it. */
export interface KnownEntry {
  record: EntryRecord
  /** Version of its row; 0 if the entry introduced itself and its row was not read yet. */
  version: bigint
  /** How long the row has been unchanged, counted only between successful reads, in ms. */
  unchangedMs: number
}

/** Dependencies of the roster. */
export interface EntryRosterOptions {
  /** Monotonic clock, in ms. */
  now: () => number
  /** This entry. */
  self: () => Pick<EntryRecord, 'entryId' | 'incarnation'>
  /** Time after which an unchanged row is stale, in ms. */
  staleAfterMs: number
}

/**
 * The entries known from their rows and introductions, and the time of the last
 * detected end of one. What an ended entry had in memory is lost.
 */
export class EntryRoster {
  private readonly known = new Map<string, KnownEntry>()
  private lastEndAt = -Infinity

  constructor (private readonly options: EntryRosterOptions) {}

  /** Other entries that have not ended and whose rows are not stale. */
  get live (): EntryRecord[] {
    return this.others.filter(({ entryId }) => this.known.get(entryId)!.unchangedMs < this.options.staleAfterMs)
  }

  /** Other entries that are not known to have ended; a stale row alone does not confirm an end. */
  get others (): EntryRecord[] {
    return [...this.known.values()]
      .map(({ record }) => record)
      .filter(({ entryId, ended }) => entryId !== this.options.self().entryId && !ended)
  }

  /** Time since the last detected end of an entry, or of an earlier process of this one, in ms; Infinity if there was none. */
  get sinceEndMs (): number {
    return this.options.now() - this.lastEndAt
  }

  /** The entry with this incarnation; undefined if its row shows another incarnation or that it has ended. */
  find (entryId: string, incarnation: string): EntryRecord | undefined {
    const record = this.known.get(entryId)?.record
    return record?.incarnation === incarnation && !record.ended ? record : undefined
  }

  /** True if the incarnation has ended, or its row was replaced, is missing or is stale. */
  isStale (entryId: string, incarnation: string): boolean {
    const entry = this.known.get(entryId)
    if (entry === undefined || entry.record.incarnation !== incarnation || entry.record.ended) return true
    return entry.unchangedMs >= this.options.staleAfterMs
  }

  /** Other entries whose rows have been unchanged for longer than `ms`. */
  unchangedLongerThan (ms: number): KnownEntry[] {
    return [...this.known.values()].filter(({ record, unchangedMs }) =>
      unchangedMs > ms && record.entryId !== this.options.self().entryId)
  }

  /** Adds an entry that introduces itself; entries do so before they claim any submission. */
  introduce (record: EntryRecord): void {
    const before = this.known.get(record.entryId)
    if (before?.record.incarnation === record.incarnation) return
    this.detectEnd(before, record)
    this.known.set(record.entryId, { record, version: 0n, unchangedMs: 0 })
  }

  /**
   * Updates the roster from a read of all rows.
   *
   * @param rows - all rows of entries
   * @param elapsedMs - time since the previous read, as far as it counts towards stale rows
   */
  apply (rows: TableRow[], elapsedMs: number): void {
    const keys = new Set(rows.map(({ key }) => key.slice(ENTRY_PREFIX.length)))
    for (const row of rows) this.applyRow(row, elapsedMs)
    for (const [entryId, entry] of this.known) if (!keys.has(entryId)) this.onMissing(entry, elapsedMs)
  }

  private applyRow (row: TableRow, elapsedMs: number): void {
    const record = fromBinary(EntryRecordSchema, row.value)
    const before = this.known.get(record.entryId)
    this.detectEnd(before, record)
    const unchangedMs = before?.version === row.version ? before.unchangedMs + elapsedMs : 0
    this.known.set(record.entryId, { record, version: row.version, unchangedMs })
  }

  private onMissing (entry: KnownEntry, elapsedMs: number): void {
    const mayPredateRow = entry.version === 0n && entry.unchangedMs < this.options.staleAfterMs
    // The row of an entry that introduced itself may have been written after this read began.
    if (mayPredateRow) entry.unchangedMs += elapsedMs
    else this.remove(entry)
  }

  private remove ({ record }: KnownEntry): void {
    this.known.delete(record.entryId)
    if (!record.ended && record.entryId !== this.options.self().entryId) this.recordEnd()
  }

  private detectEnd (before: KnownEntry | undefined, record: EntryRecord): void {
    const isSame = before?.record.incarnation === record.incarnation
    const isReplaced = before !== undefined && !isSame && !before.record.ended
    const isNewlyEnded = record.ended && !(isSame && before!.record.ended)
    const isFirstReadAfterReplacement = before === undefined && record.replaced
    if (isReplaced || isNewlyEnded || isFirstReadAfterReplacement || this.isPredecessor(record)) this.recordEnd()
  }

  private isPredecessor ({ entryId, incarnation }: EntryRecord): boolean {
    const self = this.options.self()
    return entryId === self.entryId && incarnation !== self.incarnation
  }

  private recordEnd (): void {
    this.lastEndAt = this.options.now()
  }
}
