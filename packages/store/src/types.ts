import type { Result } from '@hazellift/common'
import type { StoreFault } from './errors.js'

/** A row as the table holds it. `version` is 0n where there is none. */
export interface TableRow {
  key: string
  version: bigint
  value: Uint8Array
}

/** One write of a transaction, carried out if the row still has `ifVersion` (0n: no row). */
export interface TableWrite {
  key: string
  ifVersion: bigint
  /** `undefined` removes the row. */
  value: Uint8Array | undefined
}

/** All writes took effect, or none did and the rows that differ are given. */
export type TransactOutcome =
  | { type: 'committed', version: bigint }
  | { type: 'conflict', rows: TableRow[] }

/**
 * The transactional table service. A deployment maps its own service in by
 * implementing these three calls; see `docs/OPERATORS.md`.
 */
export interface TableService {
  /** Reads rows by key; missing ones are left out. */
  read: (keys: string[]) => Promise<Result<TableRow[], StoreFault>>
  /** Reads up to `limit` rows with the prefix, in key order, after the key `after`. */
  scan: (prefix: string, after: string, limit: number) => Promise<Result<TableRow[], StoreFault>>
  /** Carries out all writes or none. */
  transact: (writes: TableWrite[]) => Promise<Result<TransactOutcome, StoreFault>>
}

/** The object store. */
export interface ObjectStore {
  put: (name: string, value: Uint8Array) => Promise<Result<void, StoreFault>>
  /** `undefined` if there is no such object. */
  get: (name: string) => Promise<Result<Uint8Array | undefined, StoreFault>>
  delete: (name: string) => Promise<Result<void, StoreFault>>
}

/** Told of every call, for metrics. */
export type StoreObserver = (call: string, outcome: 'ok' | StoreFault['type'], ms: number) => void
