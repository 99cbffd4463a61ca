import { fromBinary } from '@bufbuild/protobuf'
import { EntryRecordSchema } from '@hazellift/protocol'
import type { EntryRecord } from '@hazellift/protocol'
import type { TableRow } from '@hazellift/store'

/** Prefix of the rows by which entries show that they live. */
export const ENTRY_PREFIX = 'entry/'

/** An entry as this one sees it. */
export interface KnownEntry {
  record: EntryRecord
  /** 0 if the entry introduced itself and its row was not seen yet. */
  version: bigint
  /** Time that the row stayed unchanged, counted only between reads that succeeded, in ms. */
  unchangedMs: number
}

/** What the roster needs. */
export interface EntryRosterOptions {
  now: () => number
  self: () => Pick<EntryRecord, 'entryId' | 'incarnation'>
  staleAfterMs: number
}

/**
 * Entries as their rows and introductions show them, and when one was last
 * seen to end. What an ended entry held in its memory is gone.
 */
export class EntryRoster {
  private readonly known = new Map<string, KnownEntry>()
  private endSeenAt = -Infinity

  constructor (private readonly options: EntryRosterOptions) {}

  /** Other entries whose rows change and that have not ended. */
  get live (): EntryRecord[] {
    return this.others.filter(({ entryId }) => this.known.get(entryId)!.unchangedMs < this.options.staleAfterMs)
  }

  /** Other entries that are not known to have ended; a stale row alone proves no end. */
  get others (): EntryRecord[] {
    return [...this.known.values()]
      .map(({ record }) => record)
      .filter(({ entryId, ended }) => entryId !== this.options.self().entryId && !ended)
  }

  /** Ms since an entry, this one's earlier process included, was last seen to have ended. */
  get sinceEndMs (): number {
    return this.options.now() - this.endSeenAt
  }

  /** The entry with this incarnation, if its row does not say otherwise. */
  find (entryId: string, incarnation: string): EntryRecord | undefined {
    const record = this.known.get(entryId)?.record
    return record?.incarnation === incarnation && !record.ended ? record : undefined
  }

  /** True if the incarnation has ended, or its row is replaced, gone or unchanged for too long. */
  isStale (entryId: string, incarnation: string): boolean {
    const entry = this.known.get(entryId)
    if (entry === undefined || entry.record.incarnation !== incarnation || entry.record.ended) return true
    return entry.unchangedMs >= this.options.staleAfterMs
  }

  /** Other entries' rows that stayed unchanged for longer than this. */
  unchangedLongerThan (ms: number): KnownEntry[] {
    return [...this.known.values()].filter(({ record, unchangedMs }) =>
      unchangedMs > ms && record.entryId !== this.options.self().entryId)
  }

  /** An entry tells of itself before it claims anything. */
  introduce (record: EntryRecord): void {
    const before = this.known.get(record.entryId)
    if (before?.record.incarnation === record.incarnation) return
    this.detectEnd(before, record)
    this.known.set(record.entryId, { record, version: 0n, unchangedMs: 0 })
  }

  /** Takes in all rows as they were read; `elapsedMs` since the read before. */
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
    const isIntroduced = entry.version === 0n && entry.unchangedMs < this.options.staleAfterMs
    // Its row may be younger than this read.
    if (isIntroduced) entry.unchangedMs += elapsedMs
    else this.remove(entry)
  }

  private remove ({ record }: KnownEntry): void {
    this.known.delete(record.entryId)
    if (!record.ended && record.entryId !== this.options.self().entryId) this.noteEnd()
  }

  private detectEnd (before: KnownEntry | undefined, record: EntryRecord): void {
    const isSame = before?.record.incarnation === record.incarnation
    const wasReplaced = before !== undefined && !isSame && !before.record.ended
    const isNewlyEnded = record.ended && !(isSame && before!.record.ended)
    const replacedBefore = before === undefined && record.replaced
    if (wasReplaced || isNewlyEnded || replacedBefore || this.isPredecessor(record)) this.noteEnd()
  }

  private isPredecessor ({ entryId, incarnation }: EntryRecord): boolean {
    const self = this.options.self()
    return entryId === self.entryId && incarnation !== self.incarnation
  }

  private noteEnd (): void {
    this.endSeenAt = this.options.now()
  }
}
