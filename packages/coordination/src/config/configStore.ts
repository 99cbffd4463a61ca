import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { GenMessage } from '@bufbuild/protobuf/codegenv2'
import { fail, ok } from '@hazellift/common'
import type { Clock, Result } from '@hazellift/common'
import { ConfigChangeSchema, ConfigHeadSchema, PolicyRecordSchema, WorkspaceRecordSchema, ZoneRecordSchema } from '@hazellift/protocol'
import type { ConfigChange, PolicyRecord, WorkspaceRecord, ZoneRecord } from '@hazellift/protocol'
import type { StoreFault, TableRow, TableService, TableWrite } from '@hazellift/store'
import { CONFIG_PREFIXES, CONFIG_ROWS, configKey, historyKey } from './configRows.js'
import type { CONFIG_KINDS, ConfigKind } from './configRows.js'

/** A change that an operator or the administrator requests; `seenVersion` is the record version it was made from. */
export type ConfigEdit =
  | { kind: typeof CONFIG_KINDS.workspace, name: string, seenVersion: bigint, operationId: string, record: WorkspaceRecord }
  | { kind: typeof CONFIG_KINDS.policy, name: string, seenVersion: bigint, operationId: string, record: PolicyRecord }
  | { kind: typeof CONFIG_KINDS.zone, name: string, seenVersion: bigint, operationId: string, record: ZoneRecord }

/** Why a change was not accepted. */
export type ConfigFault =
  /** Another change of the record came first; this one had no effect. */
  | { type: 'conflict', seenVersion: bigint, currentVersion: bigint }
  /** The table did not answer in time, so the change may have been accepted; it can be repeated safely with the same operation id. */
  | { type: 'unavailable', message: string }

/** Dependencies of the store. */
export interface ConfigStoreOptions {
  table: TableService
  clock: Clock
  /** Delay before the next attempt, in ms. */
  backoff: (failures: number) => number
  /** Total time for one change, in ms. */
  timeoutMs: number
}

/** The head and the record of an edit, as read; versions of what is missing are 0. */
interface CurrentRows {
  /** Highest accepted configuration version. */
  head: bigint
  /** Row version of the head. */
  headRowVersion: bigint
  /** Configuration version of the record. */
  version: bigint
  /** Row version of the record. */
  rowVersion: bigint
  /** Operation that wrote the record last. */
  operationId: string
}

const decodeHead = (row: TableRow | undefined): bigint =>
  row === undefined ? 0n : fromBinary(ConfigHeadSchema, row.value).version

const RECORD_SCHEMAS: Readonly<Record<ConfigKind, GenMessage<ConfigEdit['record']>>> = {
  workspace: WorkspaceRecordSchema,
  policy: PolicyRecordSchema,
  zone: ZoneRecordSchema
}

/**
 * Writes changes of the configuration to the store table, and reads them.
 *
 * Invariant: one transaction writes a change and advances the head, and requires
 * of each row the version that was read. So the versions of accepted changes are
 * unique and consecutive, and no change is lost or replaced by an older one.
 */
export class ConfigStore {
  constructor (private readonly options: ConfigStoreOptions) {}

  /**
   * Writes a change if the record was not changed since `seenVersion`. Repeats
   * attempts that failed, up to the timeout.
   *
   * @param edit - the change; its record gets the accepted version and the operation id
   * @returns the version that the change was accepted with
   */
  async put (edit: ConfigEdit): Promise<Result<bigint, ConfigFault>> {
    const { clock, backoff, timeoutMs } = this.options
    const deadline = clock.now() + timeoutMs
    let inDoubt: bigint | undefined
    let message = ''
    for (let failures = 1; clock.now() < deadline; failures++) {
      const attempt = await this.attempt(edit, inDoubt)
      if (attempt.type === 'done') return attempt.result
      if (attempt.triedVersion !== undefined) inDoubt = attempt.triedVersion
      message = attempt.message
      await clock.sleep(backoff(failures))
    }
    return fail({ type: 'unavailable', message })
  }

  /** Accepted changes after a version, oldest first, at most `limit` of them. */
  async changesAfter (version: bigint, limit: number): Promise<Result<ConfigChange[], StoreFault>> {
    const res = await this.options.table.scan(CONFIG_ROWS.historyPrefix, historyKey(version), limit)
    return res.ok ? ok(res.value.map(({ value }) => fromBinary(ConfigChangeSchema, value))) : res
  }

  /** The highest accepted version; 0 if there is none. */
  async headVersion (): Promise<Result<bigint, StoreFault>> {
    const res = await this.options.table.read([CONFIG_ROWS.head])
    return res.ok ? ok(decodeHead(res.value[0])) : res
  }

  /** Rows of all records of a kind. */
  async records (kind: ConfigKind): Promise<Result<TableRow[], StoreFault>> {
    return this.scanAll(CONFIG_PREFIXES[kind])
  }

  private async attempt (edit: ConfigEdit, inDoubt: bigint | undefined): Promise<
    { type: 'done', result: Result<bigint, ConfigFault> } | { type: 'retry', message: string, triedVersion?: bigint }
  > {
    const current = await this.readCurrent(edit)
    if (!current.ok) return { type: 'retry', message: current.err.message }
    const { head, version, operationId } = current.value
    if (operationId === edit.operationId) return { type: 'done', result: ok(version) }
    // An earlier attempt without an answer may have been accepted, and another change of the record may have followed it.
    const accepted = inDoubt === undefined ? ok(false) : await this.isAccepted(inDoubt, edit.operationId)
    if (!accepted.ok) return { type: 'retry', message: accepted.err.message }
    if (accepted.value) return { type: 'done', result: ok(inDoubt!) }
    if (version !== edit.seenVersion) {
      return { type: 'done', result: fail({ type: 'conflict', seenVersion: edit.seenVersion, currentVersion: version }) }
    }
    const next = head + 1n
    const res = await this.options.table.transact(this.writesFor(edit, current.value, next))
    if (!res.ok) return { type: 'retry', message: res.err.message, triedVersion: next }
    if (res.value.type === 'conflict') return { type: 'retry', message: 'the configuration changed meanwhile' }
    return { type: 'done', result: ok(next) }
  }

  private async readCurrent ({ kind, name }: ConfigEdit): Promise<Result<CurrentRows, StoreFault>> {
    const key = configKey(kind, name)
    const res = await this.options.table.read([CONFIG_ROWS.head, key])
    if (!res.ok) return res
    const headRow = res.value.find((row) => row.key === CONFIG_ROWS.head)
    const row = res.value.find((other) => other.key === key)
    const record = row === undefined ? undefined : fromBinary(RECORD_SCHEMAS[kind], row.value)
    return ok({
      head: decodeHead(headRow),
      headRowVersion: headRow?.version ?? 0n,
      version: record?.version ?? 0n,
      rowVersion: row?.version ?? 0n,
      operationId: record?.operationId ?? ''
    })
  }

  private async isAccepted (version: bigint, operationId: string): Promise<Result<boolean, StoreFault>> {
    const res = await this.options.table.read([historyKey(version)])
    if (!res.ok) return res
    const row = res.value[0]
    return ok(row !== undefined && fromBinary(ConfigChangeSchema, row.value).operationId === operationId)
  }

  private writesFor (edit: ConfigEdit, current: CurrentRows, version: bigint): TableWrite[] {
    const { kind, name, operationId } = edit
    Object.assign(edit.record, { version, operationId })
    const change = create(ConfigChangeSchema, {
      version, kind, name, operationId, atMs: this.options.clock.wallNow(), [kind]: edit.record
    })
    const value = toBinary(RECORD_SCHEMAS[kind], edit.record)
    return [
      { key: CONFIG_ROWS.head, ifVersion: current.headRowVersion, value: toBinary(ConfigHeadSchema, create(ConfigHeadSchema, { version })) },
      { key: configKey(kind, name), ifVersion: current.rowVersion, value },
      { key: historyKey(version), ifVersion: 0n, value: toBinary(ConfigChangeSchema, change) }
    ]
  }

  private async scanAll (prefix: string): Promise<Result<TableRow[], StoreFault>> {
    const pageSize = 500
    const rows: TableRow[] = []
    while (true) {
      const page = await this.options.table.scan(prefix, rows.at(-1)?.key ?? '', pageSize)
      if (!page.ok) return page
      rows.push(...page.value)
      if (page.value.length < pageSize) return ok(rows)
    }
  }
}
