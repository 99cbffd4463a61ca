import type { Result } from '@hazellift/common'
import { ok } from '@hazellift/common'
import type { StoreFault, TableRow, TableService } from '@hazellift/store'

interface PendingRead {
  key: string
  resolve: (result: Result<TableRow | undefined, StoreFault>) => void
}

const MAX_KEYS_PER_READ = 500

/**
 * Reads rows with one call in flight that carries all keys waiting, so that
 * reads a second do not grow with the rate of requests.
 */
export class GroupRead {
  private queue: PendingRead[] = []
  private running = false

  constructor (private readonly table: Pick<TableService, 'read'>) {}

  /** Reads one row; `undefined` if there is none. */
  read (key: string): Promise<Result<TableRow | undefined, StoreFault>> {
    return new Promise((resolve) => {
      this.queue.push({ key, resolve: resolve })
      if (!this.running) void this.run()
    })
  }

  private async run (): Promise<void> {
    this.running = true
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0, MAX_KEYS_PER_READ)
      const res = await this.table.read([...new Set(batch.map(({ key }) => key))])
      for (const { key, resolve: settle } of batch) settle(res.ok ? ok(res.value.find((row) => row.key === key)) : res)
    }
    this.running = false
  }
}
