import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { EntryRecordSchema } from '@hazellift/protocol'
import type { EntryRecord } from '@hazellift/protocol'
import type { CommitOutcome, GroupCommit, TableRow, TableService } from '@hazellift/store'
import { ENTRY_PREFIX, EntryRoster } from './entryRoster.js'
import type { KnownEntry } from './entryRoster.js'

/** What the directory needs. */
export interface EntryDirectoryOptions {
  table: Pick<TableService, 'scan'>
  group: Pick<GroupCommit, 'commit'>
  clock: Clock
  /** Who this entry is, with its addresses. */
  self: () => Pick<EntryRecord, 'entryId' | 'incarnation' | 'apiAddress' | 'sessionAddress'>
  heartbeatMs: number
  staleAfterMs: number
  /** How long the rows of entries that ended or fell silent stay, in ms. */
  rowRetentionMs: number
  configVersion: () => bigint
  /** Called when the set of live entries changed. */
  onChange: () => void
}

const MAX_ENTRIES = 1000
const WRITE_TIMEOUT_HEARTBEATS = 2

/** Keeps this entry's row fresh and watches the rows of the others. */
export class EntryDirectory {
  private readonly roster: EntryRoster
  /** Unset while the table cannot be read. */
  private lastScanAt: number | undefined
  private readAt = -Infinity
  private ownVersion = 0n
  private heartbeatCount = 0n
  private leaving = false
  private stopped = false
  private liveKey = ''
  private hasReplacedRow = false

  constructor (private readonly options: EntryDirectoryOptions) {
    this.roster = new EntryRoster({ ...options, now: options.clock.now })
  }

  /** Entries whose rows change, this one included. */
  get live (): EntryRecord[] {
    return [...this.roster.live, this.ownRecord()]
  }

  /** True once the own row stands and the others' were read. */
  get isRegistered (): boolean {
    return this.ownVersion > 0n && this.lastScanAt !== undefined
  }

  /** Live entries but for this one. */
  get peers (): EntryRecord[] {
    return this.roster.live
  }

  /** Other entries that are not known to have ended, with or without a fresh row. */
  get others (): EntryRecord[] {
    return this.roster.others
  }

  /** Live entries that take work, this one included. */
  get serving (): EntryRecord[] {
    return this.live.filter(({ leaving }) => !leaving)
  }

  /** Ms since all entries' rows were last read. */
  get sinceReadMs (): number {
    return this.options.clock.now() - this.readAt
  }

  /** Ms since an entry was last seen to have ended; what it held in memory is gone. */
  get sinceEndMs (): number {
    return this.roster.sinceEndMs
  }

  /** The live entry with this incarnation, if its row does not say otherwise. */
  find (entryId: string, incarnation: string): EntryRecord | undefined {
    return this.roster.find(entryId, incarnation)
  }

  /** True if the incarnation's row is replaced, gone or unchanged for too long. */
  isStale (entryId: string, incarnation: string): boolean {
    return this.lastScanAt !== undefined && this.roster.isStale(entryId, incarnation)
  }

  /** An entry that joins tells of itself before it claims anything. */
  introduce (record: EntryRecord): void {
    this.roster.introduce(record)
    this.announceChange()
  }

  /** This entry as its row shows it. */
  ownRecord (): EntryRecord {
    const { self, configVersion } = this.options
    return create(EntryRecordSchema, {
      ...self(),
      beat: this.heartbeatCount,
      leaving: this.leaving,
      configVersion: configVersion(),
      replaced: this.hasReplacedRow,
      ended: this.stopped
    })
  }

  /** Runs until `stop`; resolves then. Reads go on while writes are held up. */
  async run (): Promise<void> {
    await Promise.all([this.repeat(() => this.write()), this.repeat(() => this.refresh())])
  }

  /** Shows in the table that this entry takes no new work. */
  async leave (): Promise<void> {
    this.leaving = true
    await this.write()
  }

  /** Shows in the table that this entry has ended; peers need not wait for its row to go stale. */
  async stop (): Promise<void> {
    this.stopped = true
    const { heartbeatMs } = this.options
    const outcome = await this.commitOwnRow(heartbeatMs)
    // A heartbeat may have been under way.
    if (outcome.type !== 'conflict' || !this.isOwn(outcome.row)) return
    this.ownVersion = outcome.row.version
    await this.commitOwnRow(heartbeatMs)
  }

  /**
   * Reads all rows now.
   *
   * @returns false if the table did not answer
   */
  async refresh (): Promise<boolean> {
    const { table, clock, heartbeatMs } = this.options
    const startedAt = clock.now()
    const res = await table.scan(ENTRY_PREFIX, '', MAX_ENTRIES)
    if (!res.ok) {
      // Rows cannot change while the table is away; that time must not count against anybody.
      this.lastScanAt = undefined
      return false
    }
    const elapsedMs = this.lastScanAt === undefined ? 0 : clock.now() - this.lastScanAt
    this.lastScanAt = clock.now()
    this.readAt = startedAt
    this.roster.apply(res.value, Math.min(elapsedMs, heartbeatMs * 2))
    for (const entry of this.roster.unchangedLongerThan(this.options.rowRetentionMs)) void this.removeRow(entry)
    this.announceChange()
    return true
  }

  private async repeat (pass: () => Promise<unknown>): Promise<void> {
    while (!this.stopped) {
      await pass()
      await this.options.clock.sleep(this.options.heartbeatMs)
    }
  }

  private async write (): Promise<void> {
    const outcome = await this.commitOwnRow(this.options.heartbeatMs * WRITE_TIMEOUT_HEARTBEATS)
    if (outcome.type === 'committed') this.ownVersion = outcome.version
    if (outcome.type === 'conflict') await this.onRowConflict(outcome.row)
  }

  private commitOwnRow (timeoutMs: number): Promise<CommitOutcome> {
    this.heartbeatCount++
    const record = this.ownRecord()
    const write = { key: ENTRY_PREFIX + record.entryId, ifVersion: this.ownVersion, value: toBinary(EntryRecordSchema, record) }
    return this.options.group.commit(write, this.options.clock.now() + timeoutMs)
  }

  /** The row of this entry's earlier process, or an own write whose outcome stayed unknown. */
  private async onRowConflict (row: TableRow): Promise<void> {
    this.hasReplacedRow ||= row.version !== 0n && !this.isOwn(row)
    const isFirst = this.ownVersion === 0n
    this.ownVersion = row.version
    if (isFirst) await this.write()
  }

  private isOwn (row: TableRow): boolean {
    return row.version !== 0n && fromBinary(EntryRecordSchema, row.value).incarnation === this.options.self().incarnation
  }

  private async removeRow ({ record, version }: KnownEntry): Promise<void> {
    const { group, clock, heartbeatMs } = this.options
    await group.commit({ key: ENTRY_PREFIX + record.entryId, ifVersion: version, value: undefined }, clock.now() + heartbeatMs)
  }

  private announceChange (): void {
    const key = this.live.map(({ entryId, incarnation, leaving }) => `${entryId}:${incarnation}:${leaving}`).sort().join()
    if (key === this.liveKey) return
    this.liveKey = key
    this.options.onChange()
  }
}
