import type { TableRow, TableWrite, TransactOutcome } from '@hazellift/store'

const compareKeys = (a: string, b: string): number => a < b ? -1 : 1

/** Rows in memory, with a version that grows by one for each transaction. */
export class MemoryTable {
  private readonly rows = new Map<string, TableRow>()
  private version = 0n
  /** Keys in order; unset after a key came or went. */
  private sortedKeys: string[] | undefined

  /** Rows held. */
  get size (): number {
    return this.rows.size
  }

  /** Rows by key. */
  read (keys: string[]): TableRow[] {
    return keys.flatMap((key) => this.rows.get(key) ?? [])
  }

  /** Rows with a prefix, in key order. */
  scan (prefix: string, after: string, limit: number): TableRow[] {
    this.sortedKeys ??= [...this.rows.keys()].sort(compareKeys)
    const found = this.sortedKeys.filter((key) => key.startsWith(prefix) && key > after)
    return found.slice(0, limit).map((key) => this.rows.get(key)!)
  }

  /** All writes, or none and the rows that differ. */
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
