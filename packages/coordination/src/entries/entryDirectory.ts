import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { EntryRecordSchema } from '@hazellift/protocol'
import type { EntryRecord } from '@hazellift/protocol'
import type { GroupCommit, TableRow, TableService } from '@hazellift/platform'

/** Prefix of the rows by which entries show that they live. */
export const ENTRY_PREFIX = 'entry/'

/** An entry as this one sees it. */
export interface KnownEntry {
  record: EntryRecord
  version: bigint
  /** Time that the row stayed unchanged, counted only between reads that succeeded, in ms. */
  unchangedMs: number
}

/** What the directory needs. */
export interface EntryDirectoryOptions {
  table: TableService
  group: GroupCommit
  clock: Clock
  /** Who this entry is, with its addresses. */
  self: () => Pick<EntryRecord, 'entryId' | 'incarnation' | 'apiAddress' | 'sessionAddress'>
  heartbeatMs: number
  staleAfterMs: number
  configVersion: () => bigint
  /** Called when the set of live entries changed. */
  onChange: () => void
}

const MAX_ENTRIES = 1000
/** A stale row is removed after this many times its stale time. */
const REMOVE_FACTOR = 20
const HEARTBEAT_DEADLINES = 2

/** Keeps this entry's row fresh and watches the rows of the others. */
export class EntryDirectory {
  private readonly known = new Map<string, KnownEntry>()
  private lastScanAt: number | undefined
  private ownVersion = 0n
  private beat = 0n
  private leaving = false
  private stopped = false
  private liveKey = ''
  private replaced = false
  private ungracefulEndAt = -Infinity

  constructor (private readonly options: EntryDirectoryOptions) {}

  /** Entries whose rows change, this one included. */
  get live (): EntryRecord[] {
    return [...this.known.values()]
      .filter(({ record, unchangedMs }) => record.entryId !== this.options.self().entryId && unchangedMs < this.options.staleAfterMs)
      .map(({ record }) => record)
      .concat(this.ownRecord())
  }

  /** True once the own row stands and the others' were read. */
  get isEntered (): boolean {
    return this.ownVersion > 0n && this.lastScanAt !== undefined
  }

  /** Live entries but for this one. */
  get peers (): EntryRecord[] {
    return this.live.filter(({ entryId }) => entryId !== this.options.self().entryId)
  }

  /** Live entries that take work, this one included. */
  get serving (): EntryRecord[] {
    return this.live.filter(({ leaving }) => !leaving)
  }

  /** The live entry with this incarnation, if its row does not say otherwise. */
  find (entryId: string, incarnation: string): EntryRecord | undefined {
    const entry = this.known.get(entryId)
    return entry?.record.incarnation === incarnation ? entry.record : undefined
  }

  /** True if the incarnation's row is replaced, gone or unchanged for too long. */
  isStale (entryId: string, incarnation: string): boolean {
    if (this.lastScanAt === undefined) return false
    const entry = this.known.get(entryId)
    if (entry === undefined || entry.record.incarnation !== incarnation) return true
    return entry.unchangedMs >= this.options.staleAfterMs
  }

  /** Ms since an entry was last seen to have ended without a graceful stop. */
  get sinceUngracefulEndMs (): number {
    return this.options.clock.now() - this.ungracefulEndAt
  }

  /** Runs until `stop`; resolves then. */
  async run (): Promise<void> {
    const { clock, heartbeatMs } = this.options
    while (!this.stopped) {
      await this.beatOnce()
      await clock.sleep(heartbeatMs)
    }
  }

  /** Writes the own row and reads all rows, once. */
  async beatOnce (): Promise<void> {
    await Promise.all([this.write(), this.refresh()])
  }

  /** Shows in the table that this entry takes no new work. */
  async leave (): Promise<void> {
    this.leaving = true
    await this.write()
  }

  /** Removes the own row; peers need not wait for it to go stale. */
  async stop (): Promise<void> {
    this.stopped = true
    const { group, clock, self, heartbeatMs } = this.options
    const key = ENTRY_PREFIX + self().entryId
    await group.commit({ key, ifVersion: this.ownVersion, value: undefined }, clock.now() + heartbeatMs)
  }

  private ownRecord (): EntryRecord {
    const { self, configVersion } = this.options
    return create(EntryRecordSchema, { ...self(), beat: this.beat, leaving: this.leaving, configVersion: configVersion(), replaced: this.replaced })
  }

  private async write (): Promise<void> {
    const { group, clock, self, heartbeatMs } = this.options
    this.beat++
    const write = { key: ENTRY_PREFIX + self().entryId, ifVersion: this.ownVersion, value: toBinary(EntryRecordSchema, this.ownRecord()) }
    const outcome = await group.commit(write, clock.now() + heartbeatMs * HEARTBEAT_DEADLINES)
    if (outcome.type === 'committed') this.ownVersion = outcome.version
    if (outcome.type === 'conflict') await this.onRowConflict(outcome.row)
  }

  /** The row of this entry's earlier process, or an own write whose outcome stayed unknown. */
  private async onRowConflict (row: TableRow): Promise<void> {
    const isOther = row.version !== 0n &&
      fromBinary(EntryRecordSchema, row.value).incarnation !== this.options.self().incarnation
    this.replaced ||= isOther
    const isFirst = this.ownVersion === 0n
    this.ownVersion = row.version
    if (isFirst) await this.write()
  }

  /** Reads all rows now. */
  async refresh (): Promise<void> {
    const { table, clock } = this.options
    const res = await table.scan(ENTRY_PREFIX, '', MAX_ENTRIES)
    if (!res.ok) {
      // Rows cannot change while the table is away; that time must not count against anybody.
      this.lastScanAt = undefined
      return
    }
    const elapsedMs = this.lastScanAt === undefined ? 0 : clock.now() - this.lastScanAt
    this.lastScanAt = clock.now()
    this.apply(res.value, Math.min(elapsedMs, this.options.heartbeatMs * 2))
    this.announceChange()
  }

  private apply (rows: TableRow[], elapsedMs: number): void {
    const keys = new Set(rows.map(({ key }) => key.slice(ENTRY_PREFIX.length)))
    for (const id of this.known.keys()) if (!keys.has(id)) this.known.delete(id)
    for (const row of rows) this.applyRow(row, elapsedMs)
  }

  private applyRow (row: TableRow, elapsedMs: number): void {
    const record = fromBinary(EntryRecordSchema, row.value)
    const before = this.known.get(record.entryId)
    const unchangedMs = before?.version === row.version ? before.unchangedMs + elapsedMs : 0
    if (this.showsUngracefulEnd(record, before, unchangedMs)) this.ungracefulEndAt = this.options.clock.now()
    this.known.set(record.entryId, { record, version: row.version, unchangedMs })
    const isOld = unchangedMs > this.options.staleAfterMs * REMOVE_FACTOR
    if (isOld && record.entryId !== this.options.self().entryId) void this.removeRow(row)
  }

  private showsUngracefulEnd (record: EntryRecord, before: KnownEntry | undefined, unchangedMs: number): boolean {
    const isNew = before?.record.incarnation !== record.incarnation
    const wentStale = unchangedMs >= this.options.staleAfterMs && before!.unchangedMs < this.options.staleAfterMs
    return (isNew && record.replaced) || wentStale
  }

  private async removeRow ({ key, version }: TableRow): Promise<void> {
    const { group, clock, heartbeatMs } = this.options
    await group.commit({ key, ifVersion: version, value: undefined }, clock.now() + heartbeatMs)
  }

  private announceChange (): void {
    const key = this.live.map(({ entryId, incarnation, leaving }) => `${entryId}:${incarnation}:${leaving}`).sort().join()
    if (key === this.liveKey) return
    this.liveKey = key
    this.options.onChange()
  }
}
