import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { GenMessage } from '@bufbuild/protobuf/codegenv2'
import { fail, ok } from '@hazellift/common'
import type { Clock, Result } from '@hazellift/common'
import { ConfigChangeSchema, ConfigHeadSchema, PolicyRecordSchema, WorkspaceRecordSchema, ZoneRecordSchema } from '@hazellift/protocol'
import type { ConfigChange, PolicyRecord, WorkspaceRecord, ZoneRecord } from '@hazellift/protocol'
import type { StoreFault, TableRow, TableService, TableWrite } from '@hazellift/store'
import { CONFIG_PREFIXES, CONFIG_ROWS, configKey, historyKey } from './configRows.js'
import type { CONFIG_KINDS, ConfigKind } from './configRows.js'

/** A change that an operator or the administrator asks for. */
export type ConfigEdit =
  | { kind: typeof CONFIG_KINDS.workspace, name: string, seenVersion: bigint, operationId: string, record: WorkspaceRecord }
  | { kind: typeof CONFIG_KINDS.policy, name: string, seenVersion: bigint, operationId: string, record: PolicyRecord }
  | { kind: typeof CONFIG_KINDS.zone, name: string, seenVersion: bigint, operationId: string, record: ZoneRecord }

/** Why a change was not accepted. */
export type ConfigFault =
  /** A rival's change came first; nothing of this one took effect. */
  | { type: 'conflict', seenVersion: bigint, currentVersion: bigint }
  /** The table did not answer in time; the same operation id may be sent again. */
  | { type: 'unavailable', message: string }

/** What the store needs. */
export interface ConfigStoreOptions {
  table: TableService
  clock: Clock
  backoff: (failures: number) => number
  timeoutMs: number
}

interface CurrentRows {
  head: bigint
  headRow: bigint
  version: bigint
  row: bigint
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
 * Accepts changes of the configuration.
 *
 * Invariant: a change and the advance of the head are one transaction, each on
 * the version that was read; so versions of accepted changes are unique, grow
 * by one, and none is ever lost or replaced by an older one.
 */
export class ConfigStore {
  constructor (private readonly options: ConfigStoreOptions) {}

  /**
   * Writes a change if nobody changed the record since `seenVersion`.
   *
   * @returns the version at which the change was accepted
   */
  async put (edit: ConfigEdit): Promise<Result<bigint, ConfigFault>> {
    const { clock, backoff, timeoutMs } = this.options
    const deadline = clock.now() + timeoutMs
    let inDoubt: bigint | undefined
    let message = ''
    for (let failures = 1; clock.now() < deadline; failures++) {
      const attempt = await this.attempt(edit, inDoubt)
      if (attempt.type === 'settled') return attempt.result
      if (attempt.tried !== undefined) inDoubt = attempt.tried
      message = attempt.message
      await clock.sleep(backoff(failures))
    }
    return fail({ type: 'unavailable', message })
  }

  /** Accepted changes after a version, oldest first. */
  async changesAfter (version: bigint, limit: number): Promise<Result<ConfigChange[], StoreFault>> {
    const res = await this.options.table.scan(CONFIG_ROWS.historyPrefix, historyKey(version), limit)
    return res.ok ? ok(res.value.map(({ value }) => fromBinary(ConfigChangeSchema, value))) : res
  }

  /** The highest version accepted. */
  async headVersion (): Promise<Result<bigint, StoreFault>> {
    const res = await this.options.table.read([CONFIG_ROWS.head])
    return res.ok ? ok(decodeHead(res.value[0])) : res
  }

  /** All records of a kind. */
  async records (kind: ConfigKind): Promise<Result<TableRow[], StoreFault>> {
    return this.scanAll(CONFIG_PREFIXES[kind])
  }

  private async attempt (edit: ConfigEdit, inDoubt: bigint | undefined): Promise<
    { type: 'settled', result: Result<bigint, ConfigFault> } | { type: 'again', message: string, tried?: bigint }
  > {
    const current = await this.readCurrent(edit)
    if (!current.ok) return { type: 'again', message: current.err.message }
    const { head, version, operationId } = current.value
    if (operationId === edit.operationId) return { type: 'settled', result: ok(version) }
    // An earlier sending may have been accepted and then been followed by a rival's change.
    const accepted = inDoubt === undefined ? ok(false) : await this.isAccepted(inDoubt, edit.operationId)
    if (!accepted.ok) return { type: 'again', message: accepted.err.message }
    if (accepted.value) return { type: 'settled', result: ok(inDoubt!) }
    if (version !== edit.seenVersion) {
      return { type: 'settled', result: fail({ type: 'conflict', seenVersion: edit.seenVersion, currentVersion: version }) }
    }
    const next = head + 1n
    const res = await this.options.table.transact(this.writesFor(edit, current.value, next))
    if (!res.ok) return { type: 'again', message: res.err.message, tried: next }
    if (res.value.type === 'conflict') return { type: 'again', message: 'the configuration changed meanwhile' }
    return { type: 'settled', result: ok(next) }
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
      headRow: headRow?.version ?? 0n,
      version: record?.version ?? 0n,
      row: row?.version ?? 0n,
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
      { key: CONFIG_ROWS.head, ifVersion: current.headRow, value: toBinary(ConfigHeadSchema, create(ConfigHeadSchema, { version })) },
      { key: configKey(kind, name), ifVersion: current.row, value },
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
