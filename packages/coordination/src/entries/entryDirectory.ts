import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { EntryRecordSchema } from '@hazellift/protocol'
import type { EntryRecord } from '@hazellift/protocol'
import type { CommitOutcome, GroupCommit, TableRow, TableService } from '@hazellift/store'
import { ENTRY_PREFIX, EntryRoster } from './entryRoster.js'
import type { KnownEntry } from './entryRoster.js'

/** Dependencies and times of the directory. */
export interface EntryDirectoryOptions {
  table: Pick<TableService, 'scan'>
  group: Pick<GroupCommit, 'commit'>
  clock: Clock
  /** Identity and addresses of this entry. */
  self: () => Pick<EntryRecord, 'entryId' | 'incarnation' | 'apiAddress' | 'sessionAddress'>
  /** Interval between writes of the own row, and between reads of all rows, in ms. */
  heartbeatMs: number
  /** Time after which an unchanged row is stale, in ms. */
  staleAfterMs: number
  /** How long the unchanged row of an entry that ended or stopped its heartbeats is kept, in ms. */
  rowRetentionMs: number
  /** Version of the configuration in force; written into the own row. */
  configVersion: () => bigint
  /** Called when the set of live entries, or whether one accepts work, changed. */
  onChange: () => void
}

/** Most rows of entries that one read returns. */
const MAX_ENTRIES = 1000
/** Heartbeat intervals until the write of a heartbeat times out. */
const WRITE_TIMEOUT_HEARTBEATS = 2

/** Writes this entry's heartbeats into its row of the store table, and reads the rows of all other entries. */
export class EntryDirectory {
  private readonly roster: EntryRoster
  /** When the last read ended; unset while the table cannot be read. */
  private lastReadEndedAt: number | undefined
  /** When the last successful read began. */
  private lastReadStartedAt = -Infinity
  private ownVersion = 0n
  private heartbeatCount = 0n
  private leaving = false
  private stopped = false
  private lastLiveKey = ''
  private hasReplacedRow = false

  constructor (private readonly options: EntryDirectoryOptions) {
    this.roster = new EntryRoster({ ...options, now: options.clock.now })
  }

  /** Entries that are live by their heartbeats, this one included. */
  get live (): EntryRecord[] {
    return [...this.roster.live, this.ownRecord()]
  }

  /** True once the own row was written and the rows of the others were read. */
  get isRegistered (): boolean {
    return this.ownVersion > 0n && this.lastReadEndedAt !== undefined
  }

  /** Live entries except this one. */
  get peers (): EntryRecord[] {
    return this.roster.live
  }

  /** Other entries that are not known to have ended, whether their rows are stale or not. */
  get others (): EntryRecord[] {
    return this.roster.others
  }

  /** Live entries that accept work, this one included. */
  get serving (): EntryRecord[] {
    return this.live.filter(({ leaving }) => !leaving)
  }

  /** Time since the last successful read of all rows began, in ms. */
  get sinceReadMs (): number {
    return this.options.clock.now() - this.lastReadStartedAt
  }

  /** Time since the last detected end of an entry, in ms; what that entry had in memory is lost. */
  get sinceEndMs (): number {
    return this.roster.sinceEndMs
  }

  /** The entry with this incarnation; undefined if its row shows another incarnation or that it has ended. */
  find (entryId: string, incarnation: string): EntryRecord | undefined {
    return this.roster.find(entryId, incarnation)
  }

  /** True if the incarnation has ended, or its row was replaced, is missing or is stale; false while the table cannot be read. */
  isStale (entryId: string, incarnation: string): boolean {
    return this.lastReadEndedAt !== undefined && this.roster.isStale(entryId, incarnation)
  }

  /** Adds an entry that introduces itself; entries do so before they claim any submission. */
  introduce (record: EntryRecord): void {
    this.roster.introduce(record)
    this.notifyChange()
  }

  /** The current record of this entry, as written into its row. */
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

  /** Writes heartbeats and reads the rows periodically; resolves after `stop`. A slow write does not delay reads. */
  async run (): Promise<void> {
    await Promise.all([this.repeat(() => this.write()), this.repeat(() => this.refresh())])
  }

  /** Writes into the own row that this entry accepts no new work. */
  async leave (): Promise<void> {
    this.leaving = true
    await this.write()
  }

  /** Writes into the own row that this entry has ended, so that others need not wait for the row to become stale. */
  async stop (): Promise<void> {
    this.stopped = true
    const { heartbeatMs } = this.options
    const outcome = await this.commitOwnRow(heartbeatMs)
    // The conflict may come from a heartbeat of this process that was being written.
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
      // Rows cannot change while the table is unavailable; no row becomes stale by that time.
      this.lastReadEndedAt = undefined
      return false
    }
    const elapsedMs = this.lastReadEndedAt === undefined ? 0 : clock.now() - this.lastReadEndedAt
    this.lastReadEndedAt = clock.now()
    this.lastReadStartedAt = startedAt
    this.roster.apply(res.value, Math.min(elapsedMs, heartbeatMs * 2))
    for (const entry of this.roster.unchangedLongerThan(this.options.rowRetentionMs)) void this.removeRow(entry)
    this.notifyChange()
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

  /** Handles a conflict with the row of an earlier process of this entry, or with an own write whose outcome is unknown. */
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

  private notifyChange (): void {
    const key = this.live.map(({ entryId, incarnation, leaving }) => `${entryId}:${incarnation}:${leaving}`).sort().join()
    if (key === this.lastLiveKey) return
    this.lastLiveKey = key
    this.options.onChange()
  }
}
