import type { TableRow, TableWrite, TransactOutcome } from '@hazellift/store'

const compareKeys = (a: string, b: string): number => a < b ? -1 : 1

/** An in-memory table whose version grows by one with each committed transaction. */
export class MemoryTable {
  private readonly rows = new Map<string, TableRow>()
  private version = 0n
  /** All keys in order; unset after a key was added or removed. */
  private sortedKeys: string[] | undefined

  /** Number of rows. */
  get size (): number {
    return this.rows.size
  }

  /** The rows with the given keys; keys without a row are left out. */
  read (keys: string[]): TableRow[] {
    return keys.flatMap((key) => this.rows.get(key) ?? [])
  }

  /** At most `limit` rows whose keys begin with `prefix` and sort behind `after`, in key order. */
  scan (prefix: string, after: string, limit: number): TableRow[] {
    this.sortedKeys ??= [...this.rows.keys()].sort(compareKeys)
    const found = this.sortedKeys.filter((key) => key.startsWith(prefix) && key > after)
    return found.slice(0, limit).map((key) => this.rows.get(key)!)
  }

  /** Commits all writes if every row has its expected version; otherwise none, and returns the rows in conflict. */
  transact (writes: TableWrite[]): TransactOutcome {
    const current = writes.map(({ key }) => this.rows.get(key) ?? { key, version: 0n, value: new Uint8Array() })
    const conflicts = current.filter((row, index) => row.version !== writes[index]!.ifVersion)
    if (conflicts.length > 0) return { type: 'conflict', rows: conflicts }
    this.version++
    for (const write of writes) this.apply(write)
    return { type: 'committed', version: this.version }
  }

  private apply ({ key, value }: TableWrite): void {
    if (this.rows.has(key) !== (value !== undefined)) this.sortedKeys = undefined
    if (value === undefined) this.rows.delete(key)
    else this.rows.set(key, { key, version: this.version, value })
  }
}
