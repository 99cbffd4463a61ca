import type { Result } from '@hazellift/common'
import type { StoreFault } from './errors.js'

/** A row of the table. `version` is 0n if the row does not exist. */
export interface TableRow {
  key: string
  version: bigint
  value: Uint8Array
}

/** One write of a transaction, applied only if the row has version `ifVersion` (0n: the row does not exist). */
export interface TableWrite {
  key: string
  ifVersion: bigint
  /** `undefined` removes the row. */
  value: Uint8Array | undefined
}

/** Outcome of a transaction: all writes took effect, or none did and `rows` has those with other versions. */
export type TransactOutcome =
  | { type: 'committed', version: bigint }
  | { type: 'conflict', rows: TableRow[] }

/**
 * The transactional table service. A deployment can use another service by
 * implementing these three calls; see `docs/OPERATORS.md`.
 */
export interface TableService {
  /** Reads rows by key; missing rows are omitted. */
  read: (keys: string[]) => Promise<Result<TableRow[], StoreFault>>
  /** Reads up to `limit` rows whose keys begin with `prefix` and follow `after`, in key order. */
  scan: (prefix: string, after: string, limit: number) => Promise<Result<TableRow[], StoreFault>>
  /** Applies all writes or none. */
  transact: (writes: TableWrite[]) => Promise<Result<TransactOutcome, StoreFault>>
}

/** The object store: values by name. */
export interface ObjectStore {
  put: (name: string, value: Uint8Array) => Promise<Result<void, StoreFault>>
  /** Resolves to `undefined` if the object does not exist. */
  get: (name: string) => Promise<Result<Uint8Array | undefined, StoreFault>>
  delete: (name: string) => Promise<Result<void, StoreFault>>
}

/** Called after each call to the platform, for metrics; `ms` is its duration. */
export type StoreObserver = (call: string, outcome: 'ok' | StoreFault['type'], ms: number) => void
