import { availableParallelism } from 'node:os'
import { Tinypool } from 'tinypool'
import type { WorkItem, WorkResult } from './worker.js'

/**
 * Plays runs in worker threads.
 *
 * @param items - in any order; the results come in the same
 * @param onDone - told how many are done, for a display
 * @param threads - at most
 */
export const runAll = async (items: WorkItem[], onDone: (done: number, all: number) => void, threads = availableParallelism()): Promise<WorkResult[]> => {
  const pool = new Tinypool({ filename: new URL('./worker.js', import.meta.url).href, maxThreads: threads, minThreads: 1 })
  let done = 0
  try {
    return await Promise.all(items.map(async (item) => {
      const result = await pool.run(item) as WorkResult
      onDone(++done, items.length)
      return result
    }))
  } finally {
    await pool.destroy()
  }
}
