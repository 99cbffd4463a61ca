import { fromBinary } from '@bufbuild/protobuf'
import { ok } from '@hazellift/common'
import type { Clock, Result } from '@hazellift/common'
import { PolicyRecordSchema, WorkspaceRecordSchema, ZoneRecordSchema } from '@hazellift/protocol'
import type { ConfigChange, PolicyRecord, WorkspaceRecord, ZoneRecord } from '@hazellift/protocol'
import type { StoreFault } from '@hazellift/store'
import { compilePolicy } from '../policy/compilePolicy.js'
import type { CompileFault, CompiledPolicy } from '../policy/types.js'
import { CONFIG_KINDS } from './configRows.js'
import type { ConfigStore } from './configStore.js'

/** A workspace as this entry applies it. */
export interface WorkspaceConfig {
  record: WorkspaceRecord
  /** The workspace's own policy; unset if it has none, so that the default policy applies. */
  policy: PolicyRecord | undefined
  /** The policy that applies, compiled; unset if it does not compile at this entry. */
  compiled: CompiledPolicy | undefined
}

/** Dependencies of the watch. */
export interface ConfigWatchOptions {
  store: Pick<ConfigStore, 'changesAfter' | 'headVersion' | 'records'>
  clock: Clock
  /** Interval between reads, in ms. */
  pollMs: number
  /** Called after records or the version in force changed. */
  onChange: () => void
  /** Called with a policy that does not compile at this entry, and all its faults. */
  onBadPolicy: (workspace: string, faults: CompileFault[]) => void
}

const PAGE_SIZE = 200

/**
 * The configuration in force at this entry, kept current by polling the store.
 *
 * Invariant: the version in force only grows, and a record is only replaced by
 * one with a higher version.
 */
export class ConfigWatch {
  private readonly workspaces = new Map<string, WorkspaceRecord>()
  private readonly policies = new Map<string, { record: PolicyRecord, compiled: CompiledPolicy | undefined }>()
  private readonly zoneRecords = new Map<string, ZoneRecord>()
  private versionInForce = 0n
  private loaded = false
  private stopped = false

  constructor (private readonly options: ConfigWatchOptions) {}

  /** The version in force; 0 until the configuration was read. */
  get version (): bigint {
    return this.versionInForce
  }

  /** True once the whole configuration was read. */
  get isLoaded (): boolean {
    return this.loaded
  }

  /** Names of all workspaces that are not deleted, sorted. */
  get workspaceNames (): string[] {
    return [...this.workspaces.values()].filter(({ deleted }) => !deleted).map(({ name }) => name).sort()
  }

  /** A workspace; undefined if it does not exist or was deleted. */
  find (name: string): WorkspaceConfig | undefined {
    const record = this.workspaces.get(name)
    if (record === undefined || record.deleted) return undefined
    const policy = this.policies.get(name)
    return { record, policy: policy?.record, compiled: policy === undefined ? DEFAULT_POLICY : policy.compiled }
  }

  /** Records of all availability zones that an operator has ever evacuated or restored. */
  get zones (): ZoneRecord[] {
    return [...this.zoneRecords.values()]
  }

  /** True while no task may be started at endpoints of an availability zone. */
  isEvacuated (zone: string): boolean {
    return this.zoneRecords.get(zone)?.evacuated === true
  }

  /** Reads changes periodically; resolves after `stop`. */
  async run (): Promise<void> {
    while (!this.stopped) {
      await this.refresh()
      await this.options.clock.sleep(this.options.pollMs)
    }
  }

  /** Ends `run` after its current read. */
  stop (): void {
    this.stopped = true
  }

  /**
   * Reads and applies new changes now.
   *
   * @returns the version in force, or why the store could not be read
   */
  async refresh (): Promise<Result<bigint, StoreFault>> {
    if (!this.loaded) return this.load()
    const head = await this.options.store.headVersion()
    if (!head.ok) return head
    while (this.versionInForce < head.value) {
      const changes = await this.options.store.changesAfter(this.versionInForce, PAGE_SIZE)
      if (!changes.ok) return changes
      if (changes.value.length === 0) break
      for (const change of changes.value) this.applyChange(change)
      this.options.onChange()
    }
    return ok(this.versionInForce)
  }

  private async load (): Promise<Result<bigint, StoreFault>> {
    // The head is read first: records that are read after it are at least as new, so no change after it is skipped.
    const head = await this.options.store.headVersion()
    if (!head.ok) return head
    const workspaces = await this.options.store.records(CONFIG_KINDS.workspace)
    if (!workspaces.ok) return workspaces
    const policies = await this.options.store.records(CONFIG_KINDS.policy)
    if (!policies.ok) return policies
    const zones = await this.options.store.records(CONFIG_KINDS.zone)
    if (!zones.ok) return zones
    for (const { value } of zones.value) this.applyZone(fromBinary(ZoneRecordSchema, value))
    for (const { value } of workspaces.value) this.applyWorkspace(fromBinary(WorkspaceRecordSchema, value))
    for (const { value } of policies.value) this.applyPolicy(fromBinary(PolicyRecordSchema, value))
    this.versionInForce = head.value
    this.loaded = true
    this.options.onChange()
    return ok(this.versionInForce)
  }

  private applyChange (change: ConfigChange): void {
    if (change.version <= this.versionInForce) return
    if (change.workspace !== undefined) this.applyWorkspace(change.workspace)
    if (change.policy !== undefined) this.applyPolicy(change.policy)
    if (change.zone !== undefined) this.applyZone(change.zone)
    this.versionInForce = change.version
  }

  private applyZone (record: ZoneRecord): void {
    const before = this.zoneRecords.get(record.name)
    if (before === undefined || before.version < record.version) this.zoneRecords.set(record.name, record)
  }

  private applyWorkspace (record: WorkspaceRecord): void {
    const before = this.workspaces.get(record.name)
    if (before === undefined || before.version < record.version) this.workspaces.set(record.name, record)
  }

  private applyPolicy (record: PolicyRecord): void {
    const before = this.policies.get(record.workspace)
    if (before !== undefined && before.record.version >= record.version) return
    const compiled = compilePolicy(record)
    if (!compiled.ok) this.options.onBadPolicy(record.workspace, compiled.err)
    this.policies.set(record.workspace, { record, compiled: compiled.ok ? compiled.value : undefined })
  }
}

const compiledDefault = compilePolicy({})
const DEFAULT_POLICY = compiledDefault.ok ? compiledDefault.value : undefined
